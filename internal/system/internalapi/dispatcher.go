package internalapi

// DispatcherService is the name under which a dispatcher registers its calls.
const DispatcherService = "Dispatcher"

// MethodDispatcherOverview is what operators ask a dispatcher.
const MethodDispatcherOverview = DispatcherService + ".Overview"

// DispatcherOverviewArgs asks a dispatcher for what it knows.
type DispatcherOverviewArgs struct{}

// DispatcherOverviewReply is what a dispatcher knows.
type DispatcherOverviewReply struct {
	Node, Zone, Address, Frontend string
	UptimeMs                      int64
	// Ready is what the platform is answered; NotReadyFor says why it isn't.
	Ready       bool
	NotReadyFor string
	Draining    bool
	Epoch       uint64
	Chain       []string
	// ConfigVersion is 0 while there is none.
	ConfigVersion uint64
	Routes        int
	// CoreMs and HeadMs are how long ago a serving replica and the head were heard of; -1: never.
	CoreMs, HeadMs int64
	// Answers counts what clients were answered since the start, by status.
	Answers map[string]uint64
	// Peers are the other processes that it knows at present, a sample.
	Peers []string
}
