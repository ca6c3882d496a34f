package peers

// Member describes a dispatcher of the fleet.
type Member struct {
	Number int    `json:"number"`
	State  string `json:"state"` // "alive", "silent", "left", or "unseen"
	Self   bool   `json:"self,omitempty"`
	Leads  bool   `json:"leads,omitempty"` // as far as this process knows
}

// View is this process's view of the fleet.
type View struct {
	Bound   bool     `json:"bound"` // this process listens at its member's address
	Members []Member `json:"members"`
	Sent    uint64   `json:"messages_sent"`
	Heard   uint64   `json:"messages_heard"`
	Dropped uint64   `json:"messages_dropped"` // invalid messages, and those for which the inbox had no space
	Leads   bool     `json:"leads"`
}

// View returns the present view of the fleet.
func (p *Peers) View() View {
	p.mu.Lock()
	defer p.mu.Unlock()
	v := View{
		Bound:   p.bound,
		Members: make([]Member, 0, len(p.cfg.Members)),
		Sent:    p.sent.Load(),
		Heard:   p.heard.Load(),
		Dropped: p.dropped.Load(),
		Leads:   p.bound && p.leading,
	}
	for i := range p.cfg.Members {
		v.Members = append(v.Members, Member{Number: i, State: p.roster.state(i), Self: i == p.cfg.Self, Leads: i == p.leader})
	}
	return v
}

// Count returns how many members are in a state.
func (p *Peers) Count(state string) (n float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.cfg.Members {
		if p.roster.state(i) == state {
			n++
		}
	}
	return n
}
