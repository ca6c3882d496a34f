// Package node assembles one dispatcher: the sockets on both sides, the loop with its core and gates, the cluster,
// and the reload on a signal. Both the program and the lab's demo start it.
package node

import (
	"fmt"
	"os"

	"gaugeslip/internal/config"
	"gaugeslip/internal/operatorsettings"
	"gaugeslip/internal/overload"
)

// Files names the two settings files; an empty name means the file that NODE_CONFIG or NODE_SITE names.
type Files struct{ Config, Site string }

// Load reads and checks both files, including what must be consistent between the two.
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
	if s.Overload != nil { // its order must name classes of the configuration
		if _, err := overload.NewShedder(*s.Overload, &c.Settings.Policy); err != nil {
			return nil, nil, fmt.Errorf("site: overload.%w", err)
		}
	}
	if n := c.Settings.Policy.Replicas; s.Peers != nil && n != len(s.Peers.Members) { // with different counts the shares could add up to more than the whole
		return nil, nil, fmt.Errorf("site: peers.members: %d, where the settings count %d dispatchers", len(s.Peers.Members), n)
	}
	return c, s, nil
}
