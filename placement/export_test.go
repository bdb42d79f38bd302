package placement

// SetIntN replaces the source of random numbers.
func (c *Chooser) SetIntN(intN func(n int) int) { c.intN = intN }
