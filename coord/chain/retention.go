package chain

// transferRetentionFactor is how many times more than otherwise is kept of the log while a learner catches up. Without it one that takes longer for
// a snapshot than the log lasts would need one snapshot after another.
const transferRetentionFactor = 8

// trim drops delivered entries from memory once they are a quarter over what is kept.
func (c *Chain) trim() {
	held := int(c.delivered - c.log.base)
	if held <= c.cfg.KeepEntries+c.cfg.KeepEntries/4 && c.log.bytes <= c.cfg.KeepBytes+c.cfg.KeepBytes/4 {
		return
	}
	index := c.dropIndex(1)
	if needed, ok := c.neededByLearners(); ok && needed < index {
		index = max(needed, c.dropIndex(transferRetentionFactor))
	}
	c.log.Drop(index)
}

// dropIndex is the index up to which entries have to go for so many times the usual to stay.
func (c *Chain) dropIndex(times int) uint64 {
	index, bytes := c.log.base, c.log.bytes
	for index < c.delivered && (int(c.delivered-index) > times*c.cfg.KeepEntries || bytes > times*c.cfg.KeepBytes) {
		bytes -= c.log.entries[index-c.log.base].size()
		index++
	}
	return index
}

// neededByLearners is the index after which learners that catch up still need all entries; ok is false where there are none.
func (c *Chain) neededByLearners() (index uint64, ok bool) {
	for _, l := range c.learners {
		if l.needsSnapshot || l.session == 0 {
			continue
		}
		if has := l.coveredIndex(); !ok || has < index {
			index, ok = has, true
		}
	}
	return index, ok
}
