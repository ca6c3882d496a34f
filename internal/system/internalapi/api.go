// Package internalapi defines the arguments and replies of the net/rpc calls between the system's processes. Every replica of the control
// plane serves the methods under the name Service. All types are plain structs that gob can encode.
package internalapi

import "gaugeslip/coord/view"

// Service is the net/rpc service name of a replica.
const Service = "Control"

// The methods of the service.
const (
	MethodDigest   = Service + ".Digest"
	MethodFetch    = Service + ".Fetch"
	MethodSubmit   = Service + ".Submit"
	MethodCancel   = Service + ".Cancel"
	MethodStatus   = Service + ".Status"
	MethodCount    = Service + ".Count"
	MethodReplace  = Service + ".Replace"
	MethodRead     = Service + ".Read"
	MethodOverview = Service + ".Overview"
)

// Verdict is a replica's decision about a call. Done means that the call was carried out, InDoubt that it may have been, all others that it
// certainly was not.
type Verdict byte

// The verdicts.
const (
	Done       Verdict = iota + 1
	NotHead            // this replica may not answer; View names the head
	NoRoute            // the route is not in the configuration in force
	Invalid            // the body is invalid; Text says why
	Overloaded         // not accepted, for lack of capacity
	NotKnown           // there is no such job
	InDoubt            // the call may have been carried out or not
	NotYet             // the call can't be decided yet: it builds on a configuration that is not in force, but may come
)

// DigestArgs are the arguments of Digest, which returns the newest versions known to a replica.
type DigestArgs struct{}

// DigestReply holds the newest versions known to a replica. They may lag behind the head unless Serving is set.
type DigestReply struct {
	Epoch         uint64
	ConfigVersion uint64
	// Serving reports that the reply covers everything acknowledged before the call.
	Serving bool
	// UnixMs is the replica's time of day, in milliseconds since 1970.
	UnixMs int64
}

// FetchArgs asks for a view and configuration newer than the given ones.
type FetchArgs struct {
	Epoch, ConfigVersion uint64
	// HasView is set if the caller knows a view. Epoch 0 alone does not tell, as it is also the epoch of the first view.
	HasView bool
}

// FetchReply holds what is newer. If nothing is, View is unknown (view.View.Known) and Config is empty.
type FetchReply struct {
	View          view.View
	ConfigVersion uint64
	Config        []byte
}

// SubmitArgs submits a job.
type SubmitArgs struct {
	ID    uint64
	Route string // the route's name
	Body  []byte
}

// CancelArgs cancels a job.
type CancelArgs struct{ ID uint64 }

// StatusArgs asks for a job's state.
type StatusArgs struct{ ID uint64 }

// CountArgs asks how many jobs of a route have no task that has begun.
type CountArgs struct{ Route string }

// JobReply answers Submit, Cancel, Status and Count.
type JobReply struct {
	Verdict Verdict
	State   string // for Status: the state as shown to clients
	Pending int    // Count
	Text    string
	View    view.View // with NotHead: the newest view known to the replica
	// ConfigVersion is the version of the configuration that the decision is based on, 0 if it is not given.
	ConfigVersion uint64
}

// ReplaceArgs is an operator's request to replace the configuration of version Base.
type ReplaceArgs struct {
	Base uint64
	Body []byte
}

// ReplaceReply answers Replace. Status is the HTTP status for the operator, 0 with NotHead. A status of 4xx is final: no copy of the request
// can be carried out any more.
type ReplaceReply struct {
	Verdict Verdict
	Status  int
	Text    string
	View    view.View
}

// ReadArgs asks for the newest configuration.
type ReadArgs struct{}

// ReadReply holds the newest configuration, with Done.
type ReadReply struct {
	Verdict Verdict
	Version uint64
	Body    []byte
	Text    string
	View    view.View
}
