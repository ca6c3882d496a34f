package internalapi

// DispatcherService is the net/rpc service name of a dispatcher.
const DispatcherService = "Dispatcher"

// MethodDispatcherOverview returns the status of a dispatcher to operators.
const MethodDispatcherOverview = DispatcherService + ".Overview"

// DispatcherOverviewArgs are the arguments of MethodDispatcherOverview.
type DispatcherOverviewArgs struct{}

// DispatcherOverviewReply is the status of a dispatcher.
type DispatcherOverviewReply struct {
	Node, Zone, Address, Frontend string
	UptimeMs                      int64
	// Ready is the answer to the platform's readiness probe. NotReadyFor is the reason if it is false.
	Ready       bool
	NotReadyFor string
	Draining    bool
	Epoch       uint64
	Chain       []string
	// ConfigVersion is 0 while the dispatcher has no configuration.
	ConfigVersion uint64
	Routes        int
	// CoreMs and HeadMs are the milliseconds since the last contact with a serving replica and with the head, -1 if there was none.
	CoreMs, HeadMs int64
	// Answers counts the answers to clients since the start, by status.
	Answers map[string]uint64
	// Peers are other processes known at present, a sample.
	Peers []string
}
