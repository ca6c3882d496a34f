// Package dataplane implements the dispatcher of the cluster scheduler. A dispatcher accepts clients' jobs over HTTP/1.1, finds
// their queue in the newest configuration it knows, and submits them to the head of the control plane's chain. It reads job
// states at the tail. It stores nothing on disk.
//
// Responses are definite: 2xx means that the control plane has durably accepted the job; 429 and 503 mean that it hasn't and
// never will because of this request. Once the outcome of one call is unknown, only 2xx and 504 remain possible.
package dataplane
