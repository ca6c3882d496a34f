// Package dataplane is the dispatcher of the cluster scheduler: it takes clients' jobs over HTTP/1.1, finds their queue in
// the newest configuration that it has learnt, and hands them to the head of the control plane's chain; what clients ask for
// is read at the tail. It keeps nothing on disk.
//
// What it answers is certain. 2xx: the job is in custody. 429 and 503: it surely isn't, and never will be by this request.
// Once the outcome of one call is unknown, only 2xx and 504 are left.
package dataplane
