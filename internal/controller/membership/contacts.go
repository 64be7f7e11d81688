package membership

import "slices"

// Contacts returns the addresses of the nodes that this node probes most often and that appear alive: the
// cell peers at the distances 1, 2, 4 ... and the far nodes. What each node passes on to its contacts
// reaches the whole fleet.
func (c *Core) Contacts() []string {
	var addresses []string
	add := func(n *node) {
		if n != nil && n.State == Alive && n.failures == 0 && !slices.Contains(addresses, n.Address) {
			addresses = append(addresses, n.Address)
		}
	}
	for stride := 1; stride <= len(c.cellPeers); stride *= 2 {
		add(c.cellPeers[(c.cellPosition+stride-1)%len(c.cellPeers)])
	}
	for _, name := range c.far {
		add(c.nodes[name])
	}
	return addresses
}
