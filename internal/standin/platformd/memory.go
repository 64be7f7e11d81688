package platformd

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"crocusyoke/internal/platform"
)

// memory holds rows, objects and VMs.
type memory struct {
	mu sync.Mutex
	// era is 1 at first and grows with each restore.
	era     uint64
	rows    map[string]platform.Row
	objects map[string][]byte
	// vmHistory holds the versions of the VM list, oldest first. No snapshot is modified.
	vmHistory []vmSnapshot
	vmListLag time.Duration
}

// vmSnapshot is a version of the VM list and the time from which it is served.
type vmSnapshot struct {
	visibleFrom time.Time
	vms         []platform.VM
}

// firstEra is the era of a store that was never restored.
const firstEra = 1

func newMemory() *memory {
	return &memory{
		era:       firstEra,
		rows:      make(map[string]platform.Row),
		objects:   make(map[string][]byte),
		vmListLag: DefaultVMLag,
	}
}

// Copy is a copy of a platform's rows and objects at one moment.
type Copy struct {
	rows    map[string]platform.Row
	objects map[string][]byte
}

func (m *memory) copy() Copy {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Copy{maps.Clone(m.rows), maps.Clone(m.objects)}
}

// restore replaces the rows and objects by those of a copy and begins a new era.
func (m *memory) restore(c Copy) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.era++
	m.rows, m.objects = maps.Clone(c.rows), maps.Clone(c.objects)
}

// row returns the row called key, with the era. If there is none, only the era is set.
func (m *memory) row(key string) (platform.Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row, ok := m.rows[key]
	row.Era = m.era
	return row, ok
}

func (m *memory) rowsWithPrefix(prefix string) (rows []platform.Row, era uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	rows = []platform.Row{}
	for key, row := range m.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows, m.era
}

// put writes the row if its current version is version, where 0 stands for no row. It returns
// the row as it is then, with the era, and whether it was written.
func (m *memory) put(key string, version uint64, value []byte) (platform.Row, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	row := m.rows[key]
	written := row.Version == version
	if written {
		row = platform.Row{Key: key, Version: version + 1, Value: value}
		m.rows[key] = row
	}
	row.Era = m.era
	return row, written
}

func (m *memory) object(name string) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	body, ok := m.objects[name]
	return body, ok
}

func (m *memory) putObject(name string, body []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects[name] = body
}

// setVMListLag sets the lag of later changes to the VM list.
func (m *memory) setVMListLag(lag time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vmListLag = lag
}

// changeVM replaces the VM called name by vm, or removes it if vm is nil. The change shows in
// the list after the lag, but never before an earlier change does.
func (m *memory) changeVM(name string, vm *platform.VM, now time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next := []platform.VM{}
	if n := len(m.vmHistory); n > 0 {
		next = slices.Clone(m.vmHistory[n-1].vms)
	}
	next = slices.DeleteFunc(next, func(v platform.VM) bool { return v.Name == name })
	if vm != nil {
		next = append(next, *vm)
	}
	visibleFrom := now.Add(m.vmListLag)
	if n := len(m.vmHistory); n > 0 && m.vmHistory[n-1].visibleFrom.After(visibleFrom) {
		visibleFrom = m.vmHistory[n-1].visibleFrom
	}
	m.vmHistory = append(m.vmHistory, vmSnapshot{visibleFrom: visibleFrom, vms: next})
}

// listVMs returns the latest version of the VM list whose lag has passed.
func (m *memory) listVMs(now time.Time) []platform.VM {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := len(m.vmHistory) - 1; i >= 0; i-- {
		if !m.vmHistory[i].visibleFrom.After(now) {
			return m.vmHistory[i].vms
		}
	}
	return []platform.VM{}
}
