// Package node wires the parts of one dispatcher together: the sockets on both sides, the loop with its core and gates, the
// cluster, and what a signal changes. It is what the program and the lab's demo both start.
package node

import (
	"fmt"
	"os"

	"gaugeslip/internal/config"
	"gaugeslip/internal/operatorsettings"
	"gaugeslip/internal/overload"
)

// Files name what a dispatcher is told; empty: what NODE_CONFIG and NODE_SITE name.
type Files struct{ Config, Site string }

// Load reads and checks both files, also what only the two together can get wrong.
func (f *Files) Load() (*config.Config, *operatorsettings.Settings, error) {
	c, err := config.Load(os.Getenv, f.Config)
	if err != nil {
		return nil, nil, err
	}
	s, err := operatorsettings.Load(os.Getenv, f.Site)
	if err != nil {
		return nil, nil, err
	}
	if _, taken := c.Settings.Classes["jobs"]; taken && s.Waiting != nil {
		return nil, nil, fmt.Errorf("site: waiting: a class is named \"jobs\", and waiting jobs are found below /jobs")
	}
	if s.Overload != nil { // its order names classes that the configuration has
		if _, err := overload.NewShedder(*s.Overload, &c.Settings.Policy); err != nil {
			return nil, nil, fmt.Errorf("site: overload.%w", err)
		}
	}
	if n := c.Settings.Policy.Replicas; s.Peers != nil && n != len(s.Peers.Members) { // shares by two counts could come to more than the whole
		return nil, nil, fmt.Errorf("site: peers.members: %d, where the settings count %d dispatchers", len(s.Peers.Members), n)
	}
	return c, s, nil
}
