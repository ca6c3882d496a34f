package localcluster

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
)

// The ports, which are the same on all machines of a cluster.
const (
	internalPort     = 7660
	lastInternalPort = 7675
	controlPort      = 8146
	frontendPort     = 8144
	readinessPort    = 8140
	// lockPort is held open at the first replica's address by the process that runs the cluster. It reserves the network.
	lockPort = 7659
)

const (
	firstNetwork          = 64  // second byte of the addresses; lower values are left for other uses
	lastNetwork           = 250 // higher values are left for other uses
	replicaSubnet         = 1
	hostsPerSubnet        = 250
	firstDispatcherSubnet = 2 // first subnet of the dispatchers
	maxDispatchers        = hostsPerSubnet * (255 - firstDispatcherSubnet)
	loopbackPrefix        = 127
)

// layout assigns addresses of the form 127.NETWORK.SUBNET.HOST to the machines of one cluster.
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

// reserveLayout reserves a loopback network that no other cluster uses. The reservation lasts until owner is closed. Processes start
// their search at different networks, depending on their process ID, so that they find a free one quickly.
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
