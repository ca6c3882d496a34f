// Package internalapi holds the arguments and replies of the net/rpc calls between the system's processes. The service's name is
// Service; its methods are served by every replica of the control plane. All types are plain structs that gob can carry.
package internalapi

import "gaugeslip/coord/view"

// Service is the name under which a replica registers its calls.
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

// Verdict tells what a replica made of a call. Only Done was carried out; all others surely weren't, except InDoubt.
type Verdict byte

// The verdicts.
const (
	Done       Verdict = iota + 1
	NotHead            // this replica may not answer; View tells who may
	NoRoute            // the queue isn't in the configuration in force
	Invalid            // the body can't be taken; Text tells why
	Overloaded         // not taken, for want of room
	NotKnown           // there is no such job
	InDoubt            // it may be carried out or not
)

// DigestArgs asks a replica what is newest there.
type DigestArgs struct{}

// DigestReply is what is newest at a replica; it may lag behind the head unless the replica is Serving.
type DigestReply struct {
	Epoch         uint64
	ConfigVersion uint64
	// Serving tells that the reply shows all that had been acknowledged when the call came in.
	Serving bool
	// UnixMs is the replica's time of day, in milliseconds since 1970.
	UnixMs int64
}

// FetchArgs asks for what is newer than the caller's own.
type FetchArgs struct {
	Epoch, ConfigVersion uint64
	// HasView tells a caller that knows the view of epoch 0 from one that knows none.
	HasView bool
}

// FetchReply holds what is newer; View isn't known (view.View.Known) and Config is empty where nothing is.
type FetchReply struct {
	View          view.View
	ConfigVersion uint64
	Config        []byte
}

// SubmitArgs hands a job in.
type SubmitArgs struct {
	ID    uint64
	Route string // the route's name
	Body  []byte
}

// CancelArgs cancels a job.
type CancelArgs struct{ ID uint64 }

// StatusArgs asks for a job's state.
type StatusArgs struct{ ID uint64 }

// CountArgs asks how many jobs of a queue aren't over.
type CountArgs struct{ Route string }

// JobReply answers Submit, Cancel, Status and Count.
type JobReply struct {
	Verdict Verdict
	State   string // Status: as clients are answered
	Pending int    // Count
	Text    string
	View    view.View // with NotHead: the newest view known there
	// ConfigVersion is the configuration by which the call was judged; 0 when it isn't told.
	ConfigVersion uint64
}

// ReplaceArgs is an operator's order to replace the configuration.
type ReplaceArgs struct {
	Base uint64
	Body []byte
}

// ReplaceReply answers Replace; Status is the HTTP status for the operator, 0 with NotHead.
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
