package localcluster

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
)

// The ports, alike on all machines of a cluster.
const (
	internalPort     = 7660
	lastInternalPort = 7675
	controlPort      = 8146
	frontendPort     = 8144
	readinessPort    = 8140
	// lockPort is held open at the first replica's address by whoever runs the cluster.
	lockPort = 7659
)

const (
	firstNetwork          = 64  // of the second byte of addresses: networks below are left to others
	lastNetwork           = 250 // likewise
	replicaSubnet         = 1
	hostsPerSubnet        = 250
	firstDispatcherSubnet = 2 // of the dispatchers
	maxDispatchers        = hostsPerSubnet * (255 - firstDispatcherSubnet)
	loopbackPrefix        = 127
)

// layout gives the machines of one cluster their addresses: 127.NETWORK.SUBNET.HOST.
type layout struct {
	network byte
}

func (l layout) replica(index int) netip.Addr {
	return netip.AddrFrom4([4]byte{loopbackPrefix, l.network, replicaSubnet, byte(index + 1)})
}

func (l layout) dispatcher(index int) netip.Addr {
	subnet, host := firstDispatcherSubnet+index/hostsPerSubnet, 1+index%hostsPerSubnet
	return netip.AddrFrom4([4]byte{loopbackPrefix, l.network, byte(subnet), byte(host)})
}

func hostPort(address netip.Addr, port uint16) string {
	return netip.AddrPortFrom(address, port).String()
}

// reserveLayout takes a network of loopback that no other cluster has, until the owner is closed. Processes look from different ones on, so that
// they find one soon.
func reserveLayout() (taken layout, owner io.Closer, err error) {
	const networks = lastNetwork - firstNetwork + 1
	for i := range networks {
		taken = layout{network: byte(firstNetwork + (os.Getpid()+i)%networks)}
		listener, err := net.Listen("tcp", hostPort(taken.replica(0), lockPort))
		if err == nil {
			return taken, listener, nil
		}
	}
	return layout{}, nil, fmt.Errorf("no free network between 127.%d and 127.%d", firstNetwork, lastNetwork)
}
