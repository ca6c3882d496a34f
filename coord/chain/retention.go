package chain

// transferRetentionFactor is how many times the usual part of the log is kept at most while a learner catches up. Without it, a learner
// that takes longer to receive a snapshot than the log reaches back would need one snapshot after another.
const transferRetentionFactor = 8

// trim drops delivered entries from memory once they exceed the configured number or size by a quarter.
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

// dropIndex returns the index up to which entries must be dropped so that at most the given multiple of KeepEntries and KeepBytes remains.
func (c *Chain) dropIndex(times int) uint64 {
	index, bytes := c.log.base, c.log.bytes
	for index < c.delivered && (int(c.delivered-index) > times*c.cfg.KeepEntries || bytes > times*c.cfg.KeepBytes) {
		bytes -= c.log.entries[index-c.log.base].size()
		index++
	}
	return index
}

// neededByLearners returns the index after which learners that are catching up still need all entries; ok is false if there are none.
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
