package chain

// transferKeeps is how many times more than otherwise is kept of the log while a learner catches up. Without it one that takes longer for
// a snapshot than the log lasts would need one snapshot after another.
const transferKeeps = 8

// trim drops delivered entries from memory once they are a quarter over what is kept.
func (c *Chain) trim() {
	held := int(c.delivered - c.log.base)
	if held <= c.cfg.KeepEntries+c.cfg.KeepEntries/4 && c.log.bytes <= c.cfg.KeepBytes+c.cfg.KeepBytes/4 {
		return
	}
	index := c.dropTo(1)
	if needed, ok := c.needed(); ok && needed < index {
		index = max(needed, c.dropTo(transferKeeps))
	}
	c.log.Drop(index)
}

// dropTo is the index up to which entries have to go for so many times the usual to stay.
func (c *Chain) dropTo(times int) uint64 {
	index, bytes := c.log.base, c.log.bytes
	for index < c.delivered && (int(c.delivered-index) > times*c.cfg.KeepEntries || bytes > times*c.cfg.KeepBytes) {
		bytes -= c.log.entries[index-c.log.base].size()
		index++
	}
	return index
}

// needed is the index after which learners that catch up still need all entries; ok is false where there are none.
func (c *Chain) needed() (index uint64, ok bool) {
	for _, l := range c.learners {
		if l.wants || l.session == 0 {
			continue
		}
		if has := l.has(); !ok || has < index {
			index, ok = has, true
		}
	}
	return index, ok
}
