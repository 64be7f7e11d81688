// Package platformtest provides an in-memory platform for tests that can simulate outages and
// lost writes and answers.
package platformtest

import (
	"context"
	"maps"
	"sort"
	"strings"
	"sync"
	"time"

	"crocusyoke/internal/platform"
)

// Loss says at which point a write is lost, if at all.
type Loss int

// The points at which a write can be lost.
const (
	// LossNone carries out the write and returns its answer.
	LossNone Loss = iota
	// LossBefore loses the write before it takes effect; the caller gets platform.ErrOutcomeUnknown.
	LossBefore
	// LossAfter carries out the write and loses the answer; the caller gets
	// platform.ErrOutcomeUnknown.
	LossAfter
)

// Fake is an in-memory platform. It implements platform.Platform.
type Fake struct {
	mu sync.Mutex
	// era is 1 at first and grows with each Restore.
	era       uint64
	rows      map[string]platform.Row
	objects   map[string][]byte
	vms       []platform.VM
	outage    bool
	putLosses []Loss
	getCalls  int
	beforePut func()
	clock     func() time.Duration
}

// New returns an empty platform.
func New() *Fake {
	return &Fake{era: 1, rows: map[string]platform.Row{}, objects: map[string][]byte{}}
}

// SetOutage begins or ends an outage of all services.
func (f *Fake) SetOutage(outage bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outage = outage
}

// LosePuts sets the losses of the next writes of rows, one for each write.
func (f *Fake) LosePuts(losses ...Loss) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.putLosses = losses
}

// BeforePut sets a function that is called once, right before the next write of a row.
func (f *Fake) BeforePut(once func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.beforePut = once
}

// SetClock sets the monotonic clock whose reading Get and Put return as the StoreTime of rows.
func (f *Fake) SetClock(clock func() time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clock = clock
}

// Copy is a copy of a Fake's rows and objects at one moment.
type Copy struct {
	rows    map[string]platform.Row
	objects map[string][]byte
}

// Copy returns a copy of the platform as it is now.
func (f *Fake) Copy() Copy {
	f.mu.Lock()
	defer f.mu.Unlock()
	return Copy{maps.Clone(f.rows), maps.Clone(f.objects)}
}

// Restore replaces the rows and objects by those of a copy and begins a new era.
func (f *Fake) Restore(c Copy) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.era++
	f.rows, f.objects = maps.Clone(c.rows), maps.Clone(c.objects)
}

// answered returns row as an answer contains it, with the era, and with StoreTime set from the
// clock, if there is one. The caller holds f.mu.
func (f *Fake) answered(row platform.Row) platform.Row {
	row.Era = f.era
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

// SetObject stores body under name, even if name is a hash that does not match body.
func (f *Fake) SetObject(name string, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.objects[name] = body
}

// GetCalls returns the number of calls to Get.
func (f *Fake) GetCalls() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.getCalls
}

// Get implements platform.Table.
func (f *Fake) Get(_ context.Context, key string) (platform.Row, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.getCalls++
	if f.outage {
		return platform.Row{}, platform.ErrOutage.New("get %s", key)
	}
	row, ok := f.rows[key]
	if !ok {
		return f.answered(row), platform.ErrNotFound.New("row %s", key)
	}
	return f.answered(row), nil
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
			rows = append(rows, f.answered(row))
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows, nil
}

// Put implements platform.Table.
func (f *Fake) Put(_ context.Context, key string, version uint64, value []byte) (platform.Row, error) {
	f.runBeforePut()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.outage {
		return platform.Row{}, platform.ErrOutage.New("put %s", key)
	}
	loss := f.nextPutLoss()
	if loss == LossBefore {
		return platform.Row{}, platform.ErrOutcomeUnknown.New("put %s", key)
	}
	if f.rows[key].Version != version {
		return platform.Row{}, platform.ErrConflict.New("put %s: version is %d", key, f.rows[key].Version)
	}
	row := platform.Row{Key: key, Version: version + 1, Value: value}
	f.rows[key] = row
	if loss == LossAfter {
		return platform.Row{}, platform.ErrOutcomeUnknown.New("put %s", key)
	}
	return f.answered(row), nil
}

func (f *Fake) runBeforePut() {
	f.mu.Lock()
	once := f.beforePut
	f.beforePut = nil
	f.mu.Unlock()
	if once != nil {
		once()
	}
}

func (f *Fake) nextPutLoss() Loss {
	if len(f.putLosses) == 0 {
		return LossNone
	}
	loss := f.putLosses[0]
	f.putLosses = f.putLosses[1:]
	return loss
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
