package ownership

// ReaderKey names the replicas of a group in a failure domain.
type ReaderKey struct{ Group, Domain string }

// AssignReaders returns the nodes that serve reads from the replicas of each group in each failure domain of
// keys: a large node of that domain, and the group's owner in its own domain. Like owners they are chosen by
// rendezvous hashing with a limit for each node, which counts the groups that it owns. A domain without a
// live large node has no reader.
func AssignReaders(keys []ReaderKey, owners map[string]string, live []Node) map[ReaderKey]string {
	_, largest := capacityRange(live)
	isLarge := isLargeOf(largest)
	byDomain := make(map[string][]Node)
	domainOf := make(map[string]string, len(live))
	for _, n := range live {
		domainOf[n.Name] = n.Domain
		if isLarge(n) {
			byDomain[n.Domain] = append(byDomain[n.Domain], n)
		}
	}
	load := make(map[string]int)
	for _, owner := range owners {
		load[owner]++
	}
	readers := make(map[ReaderKey]string, len(keys))
	for _, key := range keys {
		if owner := owners[key.Group]; owner != "" && domainOf[owner] == key.Domain {
			readers[key] = owner
			continue
		}
		nodes := byDomain[key.Domain]
		limit := groupLimit(countKeys(keys, key.Domain), len(nodes))
		reader := leastLoaded(Group{Name: key.Group + "/" + key.Domain, Domain: key.Domain, Nodes: nodes}, isLarge, load, limit)
		if reader != "" {
			load[reader]++
			readers[key] = reader
		}
	}
	return readers
}

func countKeys(keys []ReaderKey, domain string) int {
	count := 0
	for _, key := range keys {
		if key.Domain == domain {
			count++
		}
	}
	return count
}
