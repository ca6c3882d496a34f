// Package transport carries net/rpc calls and one-way messages between the processes of the system.
//
// A Client keeps one connection per address, bounds the duration of every call, and reports in each error whether the peer may have
// executed the call. A Sender sends one-way messages over the same connections, in batches and without waiting for answers. A Receiver
// puts the batches back in order. Calls and messages to one address share its connection.
package transport
