// Package platformtest is a small in-memory platform for tests, with outages and lost
// answers to order.
package platformtest

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"crocusyoke/internal/platform"
)

// Loss says what becomes of a write.
type Loss int

// The fates of a write.
const (
	// LossNone carries the write out and answers.
	LossNone Loss = iota
	// LossBefore loses the write; the caller hears platform.ErrUnknown.
	LossBefore
	// LossAfter carries the write out; the caller hears platform.ErrUnknown.
	LossAfter
)

// Fake is a platform in memory. It implements platform.Platform.
type Fake struct {
	mu      sync.Mutex
	rows    map[string]platform.Row
	objects map[string][]byte
	vms     []platform.VM
	outage  bool
	puts    []Loss
	reads   int
	onPut   func()
	clock   func() time.Duration
}

// New returns an empty platform.
func New() *Fake {
	return &Fake{rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetOutage begins or ends an outage of everything.
func (f *Fake) SetOutage(outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = outage
}

// LosePuts sets the fates of the next writes of rows.
func (f *Fake) LosePuts(fates ...Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.puts = fates
}

// BeforePut has once called right before the next write of a row.
func (f *Fake) BeforePut(once func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onPut = once
}

// SetClock gives the platform a steady clock, which its answers about rows tell.
func (f *Fake) SetClock(clock func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock = clock
}

// stamped returns row with the platform's clock. f.mu is held.
func (f *Fake) stamped(row platform.Row) platform.Row {
	if f.clock != nil {
		row.StoreTime = f.clock()
	}
	return row
}

// SetVMs sets the list of VMs.
func (f *Fake) SetVMs(vms ...platform.VM) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.vms = vms
}

// SetObject puts body under name, whatever name promises.
func (f *Fake) SetObject(name string, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = body
}

// Reads returns the number of reads of rows.
func (f *Fake) Reads() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reads
}

// Get implements platform.Table.
func (f *Fake) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	if f.outage {
		return platform.Row{}, platform.ErrOutage.New("get %s", key)
	}
	row, ok := f.rows[key]
	if !ok {
		return row, platform.ErrNotFound.New("row %s", key)
	}
	return f.stamped(row), nil
}

// List implements platform.Table.
func (f *Fake) List(_ context.Context, prefix string) ([]platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, platform.ErrOutage.New("list %s", prefix)
	}
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Put implements platform.Table.
func (f *Fake) Put(_ context.Context, key string, version uint64, value []byte) (platform.Row, error) {
	f.hook()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return platform.Row{}, platform.ErrOutage.New("put %s", key)
	}
	fate := f.fate()
	if fate == LossBefore {
		return platform.Row{}, platform.ErrUnknown.New("put %s", key)
	}
	if f.rows[key].Version != version {
		return platform.Row{}, platform.ErrConflict.New("put %s: version is %d", key, f.rows[key].Version)
	}
	row := platform.Row{Key: key, Version: version + 1, Value: value}
	f.rows[key] = row
	if fate == LossAfter {
		return platform.Row{}, platform.ErrUnknown.New("put %s", key)
	}
	return f.stamped(row), nil
}

func (f *Fake) hook() {
	f.mu.Lock()
	once := f.onPut
	f.onPut = nil
	f.mu.Unlock()
	if once != nil {
		once()
	}
}

func (f *Fake) fate() Loss {
	if len(f.puts) == 0 {
		return LossNone
	}
	fate := f.puts[0]
	f.puts = f.puts[1:]
	return fate
}

// PutObject implements platform.Objects.
func (f *Fake) PutObject(_ context.Context, name string, body []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return platform.ErrOutage.New("put object %s", name)
	}
	f.objects[name] = body
	return nil
}

// GetObject implements platform.Objects.
func (f *Fake) GetObject(_ context.Context, name string) ([]byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, platform.ErrOutage.New("get object %s", name)
	}
	body, ok := f.objects[name]
	if !ok {
		return nil, platform.ErrNotFound.New("object %s", name)
	}
	return body, nil
}

// ListVMs implements platform.VMs.
func (f *Fake) ListVMs(context.Context) ([]platform.VM, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return nil, platform.ErrOutage.New("list VMs")
	}
	return append([]platform.VM(nil), f.vms...), nil
}
