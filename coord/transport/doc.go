// Package transport carries net/rpc calls and one-way messages between the processes of the system.
//
// A Client keeps one connection to each address that it calls, bounds every call, and tells in each error what is
// certain. A Sender sends one-way messages over the same connections, in batches and without waiting for answers; a
// Receiver puts the batches back in order. Calls and messages to one address share its connection.
package transport
