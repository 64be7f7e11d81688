package deploy

import (
	"context"
	"maps"
	"os"

	"github.com/pelletier/go-toml/v2"

	"crocusyoke/internal/platform"
)

// spareVMs is the number of replacement VMs that may be started during a run. Their
// certificates are written in advance.
const spareVMs = 16

// spareVMNames returns the names of the replacement VMs.
func (d *Deployment) spareVMNames() []string {
	names := make([]string, spareVMs)
	for i := range names {
		names[i] = vmName(d.Plan.Name, d.Plan.Nodes+i)
	}
	return names
}

// VMName returns the name of the VM that runs as node n now: its latest replacement, or the
// node's own name.
func (d *Deployment) VMName(n Node) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if name, ok := d.replacements[n.Name]; ok {
		return name
	}
	return n.Name
}

// Place returns the node whose name is name, or whose latest replacement VM has that name.
func (d *Deployment) Place(name string) (Node, bool) {
	d.mu.Lock()
	replacements := maps.Clone(d.replacements)
	d.mu.Unlock()
	for _, n := range d.Nodes {
		if n.Name == name || replacements[n.Name] == name {
			return n, true
		}
	}
	return Node{}, false
}

// Replace starts a replacement for the VM of node n, which must have exited. The replacement
// has a new name and no state, and uses the node's ports and failure domain. Replace updates
// the platform's VM list and returns the new name once the new VM responds.
func (d *Deployment) Replace(ctx context.Context, b Binaries, n Node) (string, error) {
	old := d.VMName(n)
	name, err := d.allocateSpareVM()
	if err != nil {
		return "", err
	}
	replacement := n
	replacement.Name = name
	replacement.Settings = d.path(name + ".toml")
	body, err := toml.Marshal(d.nodeSettings(replacement))
	if err != nil {
		return "", Error.Wrap(err)
	}
	if err := os.WriteFile(replacement.Settings, body, 0o600); err != nil {
		return "", Error.Wrap(err)
	}
	if err := d.PlatformAdmin().DeleteVM(ctx, old); err != nil {
		return "", Error.Wrap(err)
	}
	if err := d.PlatformAdmin().PutVM(ctx, replacement.VM(platform.VMLive)); err != nil {
		return "", Error.Wrap(err)
	}
	if err := d.Processes.Start(d.nodeSpec(b, replacement)); err != nil {
		return "", err
	}
	d.mu.Lock()
	d.replacements[n.Name] = name
	d.mu.Unlock()
	return name, d.awaitReady(ctx, name, func(ctx context.Context) error { return probeHTTP(ctx, n.Ops) })
}

// allocateSpareVM returns the name of the next unused spare VM.
func (d *Deployment) allocateSpareVM() (string, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.spareVMsUsed == spareVMs {
		return "", Error.New("all %d spare VMs are in use", spareVMs)
	}
	name := vmName(d.Plan.Name, d.Plan.Nodes+d.spareVMsUsed)
	d.spareVMsUsed++
	return name, nil
}

// nodeNames returns the names of all processes that may run as nodes, spare VMs included.
func (d *Deployment) nodeNames() []string {
	var names []string
	for _, n := range d.Nodes {
		names = append(names, n.Name)
	}
	return append(names, d.spareVMNames()...)
}
