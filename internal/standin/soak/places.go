package soak

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"crocusyoke/internal/standin/hosted"
)

// regions are the regions of the zones.
var regions = map[string]string{"a": "north", "b": "north", "c": "south"}

// routeHomes and customerHomes are the home regions of the routes and of the customers that have any.
var (
	routeHomes = map[string][]string{
		"proofs-" + kindProofs: {"north"}, "pages-" + kindProofs: {"south"}, "stitch-" + kindJobs: {"south", "elsewhere"},
		"proofs-" + kindJobs: {"north"},
	}
	customerHomes = map[string][]string{"maker-b": {"north"}}
)

// heartbeat is how often a target writes its entry.
const heartbeat = 1200 * time.Millisecond

// hasPlaces reports whether zones are in regions, some routes and customers have homes, targets that have just started
// are cold, and routes have priorities.
func (o *Options) hasPlaces() bool { return o.Schedule == ScheduleDomains }

// addPlaces adds to the node's settings file the regions of zones, what cold targets may get, and that requests have
// priorities.
func (n *node) addPlaces(o *Options) error {
	if !o.hasPlaces() {
		return nil
	}
	body, err := os.ReadFile(n.settingsPath)
	if err != nil {
		return err
	}
	bounds := fmt.Sprintf("cold_over = %v\ncold_slack = %d\n[platform]", coldOver, coldSlack)
	var text strings.Builder
	text.WriteString("contracts = [\"pressure\"]\n")
	text.WriteString(strings.Replace(string(body), "[platform]", bounds, 1))
	text.WriteString("[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = %q\n", zone, regions[zone])
	}
	return os.WriteFile(n.settingsPath, []byte(text.String()), 0o600)
}

// watchArrivals judges what the targets of d read. It must be called before anything is sent to them.
func (r *run) watchArrivals(d *database) {
	if !r.options.hasPlaces() {
		return
	}
	d.group.ColdStart = coldStart
	d.group.Arrived = func(st hosted.Statement) {
		r.cold.observe(st)
		r.statements.observeArrival(st)
	}
}

// observeArrival judges that a statement of a caller reached a target in the home regions of its route and customer.
func (s *statements) observeArrival(st hosted.Statement) {
	s.mu.Lock()
	sent := s.byID[st.ID]
	s.mu.Unlock()
	if sent == nil {
		return
	}
	route, region := sent.group+"-"+sent.kind, regions[zoneOf(st.Target)]
	if len(routeHomes[route])+len(customerHomes[sent.customer]) > 0 {
		s.judge.check(ruleHome, allows(routeHomes[route], region) && allows(customerHomes[sent.customer], region),
			"%s of %s on %s reached %s in %s: %s", sent.id, sent.customer, route, st.Target, region, shorten(st.Text))
	}
}

// allows reports whether a request with the given homes may reach a region.
func allows(homes []string, region string) bool {
	return len(homes) == 0 || slices.Contains(homes, region)
}

// keepEntries has the targets that run write their entries until the run ends.
func (r *run) keepEntries() {
	for r.options.hasPlaces() && !r.hasEnded() {
		time.Sleep(heartbeat)
		for _, d := range r.databases {
			d.beat()
		}
	}
}

// beat writes the entries of the targets that run.
func (d *database) beat() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for id, zone := range d.zones {
		if state := d.states[id]; state != "" && d.group.Target(id).Runs() {
			d.store.Put("servers", id, d.group.Entry(id, zone, state))
		}
	}
}
