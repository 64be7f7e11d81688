package soak

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"crocusyoke/internal/standin/hosted"
	"crocusyoke/internal/standin/link"
)

const (
	// targetsPerGroup is the number of targets of a group, one in each zone.
	targetsPerGroup = 3
	// targetQueue is how many statements wait at a target before it refuses more.
	targetQueue = 40
	handshake   = 12 * time.Millisecond
	// valueLimit is how many bytes of a value targets keep and return.
	valueLimit = 64
	// workSpread is the spread of the work times, as the standard deviation of their logarithm. Of
	// longWorkEvery statements one takes minLongWork to maxLongWork.
	workSpread    = 0.7
	longWorkEvery = 400
	minLongWork   = 100 * time.Millisecond
	maxLongWork   = 2500 * time.Millisecond
	// drainTime is how long a target that is replaced goes on after its entry says draining, and
	// maxDrainExtra how much longer it may. The new one's entry appears up to maxEntryDelay later.
	drainTime     = 7 * time.Second
	maxDrainExtra = 2 * time.Second
	maxEntryDelay = 1200 * time.Millisecond
)

// groupNames are the names of the groups. The home of the third one, whose first target is in zone c, is the
// only node of that zone, and node-a-3 owns it while that node is away.
var groupNames = []string{"proofs", "pages", "stitch"}

// syncedGroup is the place of the group whose primary acknowledges a commit once a replica has received it.
const syncedGroup = 1

// database is one group of targets, and the links to them.
type database struct {
	group *hosted.Group
	store *hosted.Store
	links []*link.Link
	// changing is held while a target is crashed or replaced.
	changing sync.Mutex

	mu sync.Mutex
	// zones holds the zone of each target that has an entry, by its ID.
	zones map[string]string
	// states holds the state in each of these entries, removed the targets whose entry was removed.
	states   map[string]string
	removed  []string
	replaced int
	// recent holds the items that were written last.
	recent []string
}

// newDatabase starts the group with the given index and registers its targets. observe is called with what
// they ran.
func newDatabase(index int, o Options, store *hosted.Store, observe func(group string, ran hosted.Statement)) (*database, error) {
	name := groupNames[index]
	ids := make([]string, targetsPerGroup)
	for i := range ids {
		ids[i] = fmt.Sprintf("%s-%d", name, i+1)
	}
	d := &database{group: hosted.NewGroup(name, ids...), store: store, zones: make(map[string]string), states: make(map[string]string)}
	d.group.PromoteAfter, d.group.Lag = o.PromoteAfter, o.Lag
	if index%len(groupNames) == syncedGroup {
		d.group.SyncReplicas = 1
	}
	d.group.Observe = func(ran hosted.Statement) { observe(name, ran) }
	if o.Work > 0 {
		d.group.Load = hosted.Load{Slots: o.Slots, Queue: targetQueue, Handshake: handshake, Work: func() time.Duration { return drawWork(o.Work) }}
	}
	d.group.Load.ValueLimit = valueLimit
	d.group.Load.SetupRefusals, d.group.Load.SetupFailures, d.group.Load.Seed = o.SetupRefusals, o.SetupFailures, o.Seed+uint64(index)
	for i, id := range ids {
		if o.LinkDelay > 0 {
			t := d.group.Target(id)
			l, err := link.Listen(t.Address, link.Symmetric(o.LinkDelay))
			if err != nil {
				d.close()
				return nil, err
			}
			d.links = append(d.links, l)
			t.RegisteredAddress = l.Address()
		}
		d.zones[id] = zones[(index+i)%len(zones)]
		d.register(id, "ready")
	}
	return d, nil
}

func (d *database) close() {
	d.group.Close()
	for _, l := range d.links {
		l.Close()
	}
}

// drawWork returns a work time with the given mean, sometimes a far longer one.
func drawWork(mean time.Duration) time.Duration {
	if rand.IntN(longWorkEvery) == 0 {
		return minLongWork + rand.N(maxLongWork-minLongWork)
	}
	return time.Duration(float64(mean) * math.Exp(workSpread*rand.NormFloat64()-workSpread*workSpread/2))
}

// register writes the entry of a target, unless that was replaced.
func (d *database) register(id, state string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if zone, ok := d.zones[id]; ok {
		d.states[id] = state
		d.store.Put("servers", id, d.group.Entry(id, zone, state))
	}
}

// writeEntry writes an entry in place of that of a target, unless that was replaced.
func (d *database) writeEntry(id, entry string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.zones[id]; ok {
		d.store.Put("servers", id, []byte(entry))
	}
}

// ids returns the IDs of the targets that have entries.
func (d *database) ids() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.zones))
}

// release replaces the primary as planned: its entry says that it is draining, it ends later, and a new
// target comes in its place.
func (d *database) release(random *rand.Rand) {
	if !d.changing.TryLock() {
		return
	}
	defer d.changing.Unlock()
	old := d.group.Leader()
	if old == nil {
		return
	}
	d.register(old.ID, "draining")
	time.Sleep(drainTime + upTo(random, maxDrainExtra))
	d.mu.Lock()
	d.replaced++
	base, _, _ := strings.Cut(old.ID, "+")
	id := fmt.Sprintf("%s+%d", base, d.replaced)
	zone := d.zones[old.ID]
	delete(d.zones, old.ID)
	delete(d.states, old.ID)
	d.removed = append(d.removed, old.ID)
	d.store.Delete("servers", old.ID)
	d.mu.Unlock()
	d.group.Replace(old, id)
	d.mu.Lock()
	d.zones[id] = zone
	d.mu.Unlock()
	time.Sleep(upTo(random, maxEntryDelay))
	d.register(id, "ready")
}

// oddEntries are entries of another writer. %ADDR% and %GROUP% stand for the target's address and group.
var oddEntries = []string{
	`{"service":"%GROUP%","addr":"%ADDR%","zone":"a","slots":5,"state":7}`,
	`{"service":"%GROUP%","addr":"127.0.0.1:99999","zone":"a","slots":5,"state":"ready"}`,
	`{"service":"%GROUP%","addr":"127.0.0.1:0","zone":"a","slots":5,"state":"ready"}`,
	`{"service":"%GROUP%","addr":"%ADDR%","zone":"a","slots":1e400,"state":"ready"}`,
	`{"service":"nowhere","addr":"%ADDR%","zone":"a","slots":5,"state":"ready"}`,
	`{"service":"%GROUP%","addr":"%ADDR%","zone":"a","slots":5,"state":"ready","seq":` + strings.Repeat("[", 30000),
	"\xff\xfe",
	``,
}

// writeOddEntries replaces the entries of targets until their next heartbeat.
func (d *database) writeOddEntries(ids []string, odd string) {
	for _, id := range ids {
		address := d.group.Target(id).RegisteredAddress
		if address == "" {
			address = d.group.Target(id).Address
		}
		entry := strings.NewReplacer("%ADDR%", address, "%GROUP%", d.group.Name).Replace(odd)
		d.writeEntry(id, entry)
	}
	time.Sleep(oddEntryTime)
	for _, id := range ids {
		d.register(id, "ready")
	}
}
