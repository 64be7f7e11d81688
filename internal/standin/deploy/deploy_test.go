package deploy_test

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/standin/deploy"
)

// Guards against plans whose files the proxy rejects, processes that share a port, and customers
// that are allowed to use their foreign service.
func TestPlanFilesAreValidAndPortsUnique(t *testing.T) {
	for _, name := range []string{deploy.Trust, deploy.Bindery} {
		plan, err := deploy.NewPlan(name)
		must.NoError(t, err)
		d, err := deploy.New(plan, filepath.Join(t.TempDir(), name))
		must.NoError(t, err)
		defer d.Processes.Close()

		body, err := os.ReadFile(filepath.Join(d.Dir, "config.toml"))
		must.NoError(t, err)
		config, err := fleet.Parse(body, "config.toml")
		must.NoError(t, err)
		must.SliceLen(t, 3, config.Groups)
		must.SliceLen(t, 8, config.Customers)
		usedPorts := map[string]bool{d.Platform: true}
		for _, n := range d.Nodes {
			s, err := settings.Load(n.Settings)
			must.NoError(t, err)
			must.EqOp(t, n.Name, s.Node.Name)
			usedPorts[n.Callers], usedPorts[n.Ops], usedPorts["udp "+n.Peers] = true, true, true
		}
		for _, target := range d.Targets {
			usedPorts[target.Address], usedPorts[target.Admin] = true, true
		}
		must.MapLen(t, 1+3*len(d.Nodes)+2*len(d.Targets), usedPorts)
		for _, c := range d.Customers {
			service := config.Service(c.Foreign)
			must.SliceNotContains(t, service.Customers, c.Name)
		}
	}
}

// Guards against deleting unrelated files: New must not empty a directory that it did not make.
func TestNewRefusesForeignDirectory(t *testing.T) {
	dir := t.TempDir()
	kept := filepath.Join(dir, "kept")
	must.NoError(t, os.WriteFile(kept, nil, 0o600))
	plan, err := deploy.NewPlan(deploy.Trust)
	must.NoError(t, err)
	_, err = deploy.New(plan, dir)
	must.Error(t, err)
	must.FileExists(t, kept)
}

// Guards against a manifest that lacks what other tools read from it: nodes, targets and keys.
func TestManifestRoundTrips(t *testing.T) {
	plan, err := deploy.NewPlan(deploy.Bindery)
	must.NoError(t, err)
	d, err := deploy.New(plan, filepath.Join(t.TempDir(), "bindery"))
	must.NoError(t, err)
	defer d.Processes.Close()
	body, err := os.ReadFile(filepath.Join(d.Dir, "deployment.json"))
	must.NoError(t, err)
	var decoded deploy.Deployment
	must.NoError(t, json.Unmarshal(body, &decoded))
	must.Eq(t, d.Targets, decoded.Targets)
	must.Eq(t, d.Nodes, decoded.Nodes)
	must.EqOp(t, d.Customers[0].Key, decoded.Customers[0].Key)
}
