package peers

// Member is another dispatcher as membership has it.
type Member struct {
	Number int    `json:"number"`
	State  string `json:"state"` // "alive", "silent", "left", or "unseen"
	Self   bool   `json:"self,omitempty"`
	Leads  bool   `json:"leads,omitempty"` // as far as is known here
}

// View is what is known of the fleet.
type View struct {
	Bound   bool     `json:"bound"` // this process holds its member's address
	Members []Member `json:"members"`
	Sent    uint64   `json:"messages_sent"`
	Heard   uint64   `json:"messages_heard"`
	Dropped uint64   `json:"messages_dropped"` // that could not be read, or had no room
	Leads   bool     `json:"leads"`
}

// View tells what is known of the fleet now.
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

// Count is how many members are in a state.
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
