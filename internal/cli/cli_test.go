package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"crocusyoke/internal/audit"
	"crocusyoke/internal/catalog"
	"crocusyoke/internal/change"
	"crocusyoke/internal/fleet"
	"crocusyoke/internal/peer"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/platform/platformtest"
	"crocusyoke/internal/run/promotion"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/status"
)

// testFleet is a platform with three nodes, which have every version of the configuration in
// force as soon as it is written. It is also the commands' clock and peer client.
type testFleet struct {
	t     *testing.T
	store *platformtest.Fake
	// unresponsive makes calls to all nodes but n1 fail.
	unresponsive bool
	env          map[string]string
	// allOutput is the output of all commands so far.
	allOutput strings.Builder

	mu  sync.Mutex
	now time.Time
}

func newTestFleet(t *testing.T) *testFleet {
	f := &testFleet{t: t, store: platformtest.New(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	for _, name := range []string{"n1", "n2", "n3"} {
		vm := platform.VM{Name: name, Address: name, Domain: "rajkot-a"}
		f.store.SetVMs(append(listVMs(t, f.store), vm)...)
	}
	f.env = map[string]string{
		"CROCUSYOKE_PLATFORM": "http://127.0.0.1:1", "CROCUSYOKE_DEPLOYMENT": "trust",
		"CROCUSYOKE_CERTIFICATE": "c", "CROCUSYOKE_KEY": "k", "CROCUSYOKE_AUTHORITY": "a",
		"CROCUSYOKE_AS": "asha",
	}
	return f
}

func listVMs(t *testing.T, store *platformtest.Fake) []platform.VM {
	t.Helper()
	listed, err := store.ListVMs(context.Background())
	must.NoError(t, err)
	return listed
}

// Now implements clock.Clock.
func (f *testFleet) Now() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Sleep implements clock.Clock.
func (f *testFleet) Sleep(ctx context.Context, d time.Duration) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = f.now.Add(d)
	return ctx.Err()
}

// Call implements peer.Caller: it answers every request with a status report.
func (f *testFleet) Call(ctx context.Context, address string, _ peer.Kind, _, reply any) error {
	if f.unresponsive && address != "n1" {
		return errors.New("no answer")
	}
	state, err := change.Read(ctx, f.store, "trust")
	*reply.(*status.Report) = status.Report{Node: address, Domain: "rajkot-a", Run: "1", ConfigVersion: state.Version}
	return err
}

// run runs one command and returns its exit code and what it wrote to standard output and
// standard error.
func (f *testFleet) run(args ...string) (code int, output string) {
	f.t.Helper()
	var out bytes.Buffer
	code = Main(context.Background(), args, &out, &out, Hooks{
		Serve:          func(context.Context, *settings.Settings) error { return nil },
		PlatformClient: func(Options) (platform.Platform, error) { return f.store, nil },
		PeerClient:     func(Options) (peer.Caller, error) { return f, nil },
		OpenHosted: func(file string) (platform.VMs, peer.Caller, error) {
			if file != "boot.toml" {
				return nil, nil, errors.New("no such file")
			}
			return f.store, f, nil
		},
		CheckHostedConfig: func(file string) (*catalog.Configuration, error) {
			if file != "sound.json" {
				return nil, errors.New("desired.json:3: unknown type")
			}
			return &catalog.Configuration{Version: 7, Customers: make([]fleet.Customer, 2)}, nil
		},
		Clock:   f,
		Getenv:  func(name string) string { return f.env[name] },
		Release: "test",
	})
	f.allOutput.WriteString(out.String())
	return code, out.String()
}

// mustRun runs a command that must succeed and returns its output.
func (f *testFleet) mustRun(args ...string) string {
	f.t.Helper()
	code, output := f.run(args...)
	must.Eq(f.t, ExitOK, code, must.Sprint(output))
	return output
}

// mustFail runs a command that must exit with code and print want.
func (f *testFleet) mustFail(code int, want string, args ...string) {
	f.t.Helper()
	got, output := f.run(args...)
	must.Eq(f.t, code, got, must.Sprint(output))
	must.StrContains(f.t, output, want)
}

func (f *testFleet) writeFile(text string) string {
	path := filepath.Join(f.t.TempDir(), "fleet.toml")
	must.NoError(f.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestOperatorCommands(t *testing.T) {
	f := newTestFleet(t)
	f.mustRun("config", "check", "../../examples/trust/fleet.toml")
	must.StrContains(t, f.mustRun("config", "apply", "../../examples/trust/fleet.toml"), "version 1 accepted: in force at 3 of 3 nodes")
	must.StrContains(t, f.mustRun("config", "apply", "../../examples/trust/fleet.toml", "--from", "1"), "nothing to change")
	must.StrContains(t, f.mustRun("profile", "set", "rates", "--max-age", "30s"), `change profile rates: max_age "1m0s" -> "30s"`)
	must.StrContains(t, f.mustRun("profile", "set", "new"), "add profile new")
	must.StrContains(t, f.mustRun("customer", "set", "hostel-morbi", "--rate", "60"), `rate "50" -> "60"`)
	must.StrContains(t, f.mustRun("target", "drain", "orders-2"), `leaving "false" -> "true"`)
	must.StrContains(t, f.mustRun("target", "list"), "orders-2")
	must.StrContains(t, f.mustRun("target", "undrain", "orders-2"), `leaving "true" -> "false"`)
	must.StrContains(t, f.mustRun("config", "history"), "asha")
	must.StrContains(t, f.mustRun("audit"), "version 1 -> 2")
	must.StrContains(t, f.mustRun("status"), "n3")
	must.StrContains(t, f.mustRun("profile", "list"), "majority")
	must.StrContains(t, f.mustRun("customer", "list"), "trust-desk")
	must.StrContains(t, f.mustRun("version"), "crocusyoke test")

	var result changeResult
	must.NoError(t, json.Unmarshal([]byte(f.mustRun("target", "drain", "orders-2", "-o", "json")), &result))
	must.Eq(t, "accepted", result.State)
	must.Eq(t, 7, result.Version)
}

// TestDomainEvacuate checks that an evacuation and its end are new versions of the configuration in the audit trail,
// that a name without a target is refused, and that config show keeps the field.
func TestDomainEvacuate(t *testing.T) {
	f := newTestFleet(t)
	f.mustRun("config", "apply", "../../examples/trust/fleet.toml")
	f.mustFail(ExitError, `there is no target in a failure domain "nowhere"`, "domain", "evacuate", "nowhere")
	must.StrContains(t, f.mustRun("domain", "evacuate", "rajkot-a"), `evacuated_domains "" -> "rajkot-a"`)
	must.StrContains(t, f.mustRun("config", "show"), "evacuated_domains = ['rajkot-a']")
	must.StrContains(t, f.mustRun("audit"), "version 1 -> 2")
	current, err := change.Read(context.Background(), f.store, "trust")
	must.NoError(t, err)
	for _, g := range current.Config.Groups {
		for _, target := range g.Targets {
			must.Eq(t, target.Domain == "rajkot-a", target.IsWithdrawn())
		}
	}
	must.StrContains(t, f.mustRun("domain", "evacuate", "rajkot-a", "--undo"), `evacuated_domains "rajkot-a" -> ""`)
}

// TestShowOutputCanBeApplied checks that a file printed by config show, which has no secrets,
// keeps the secrets in force when it is edited and applied, and is refused after another change.
func TestShowOutputCanBeApplied(t *testing.T) {
	f := newTestFleet(t)
	f.mustRun("config", "apply", "../../examples/trust/fleet.toml")
	before, err := change.Read(context.Background(), f.store, "trust")
	must.NoError(t, err)
	shown := f.mustRun("config", "show")
	edited := strings.Replace(shown, "max_age = '1m0s'", "max_age = '2m0s'", 1)
	must.NotEq(t, shown, edited)
	f.mustRun("config", "apply", f.writeFile(edited))
	after, err := change.Read(context.Background(), f.store, "trust")
	must.NoError(t, err)
	must.Eq(t, before.Config.TokenSecret, after.Config.TokenSecret)
	must.Eq(t, before.Config.Customers, after.Config.Customers)

	f.mustFail(ExitConflict, "replaced by version 2 of asha", "config", "apply", f.writeFile(shown+"# edited\n[[profile]]\nname = 'late'\n"))
	f.mustFail(ExitUsage, "give --from; the version in force is 2", "config", "apply", "../../examples/trust/fleet.toml")
	must.StrContains(t, f.mustRun("config", "show", "--version", "1"), "max_age = '1m0s'")
}

// TestConcurrentChangeIsConflict checks that a change fails with ExitConflict, and overwrites
// nothing, if another operator's change is written between its read and its write.
func TestConcurrentChangeIsConflict(t *testing.T) {
	f := newTestFleet(t)
	f.mustRun("config", "apply", "../../examples/trust/fleet.toml")
	f.store.BeforePut(func() { f.mustRun("customer", "set", "hostel-morbi", "--rate", "70", "--as", "bina") })
	f.mustFail(ExitConflict, "replaced by version 2 of bina at 2026-01-01T00:00:00Z", "customer", "set", "hostel-morbi", "--rate", "60")
	must.StrContains(t, f.mustRun("customer", "list"), "70")
}

func TestChangeIsPendingWithoutMajority(t *testing.T) {
	f := newTestFleet(t)
	f.mustRun("config", "apply", "../../examples/trust/fleet.toml")
	f.unresponsive = true
	f.mustFail(ExitPending, "version 2 pending: in force at 1 of 3 nodes, not at n2, n3", "target", "drain", "orders-2", "--wait", "20ms")
	must.StrContains(t, f.mustRun("target", "undrain", "orders-2", "--wait", "0"), "version 3 written")
	must.StrContains(t, f.mustRun("status"), "silent")
}

func TestPlatformOutageExitCode(t *testing.T) {
	f := newTestFleet(t)
	f.mustRun("config", "apply", "../../examples/trust/fleet.toml")
	f.store.SetOutage(true)
	f.mustFail(ExitUnavailable, "outage", "config", "show")
	f.mustFail(ExitUnavailable, "outage", "key", "withdraw", "trust-desk", "demo")
}

func TestUsageErrors(t *testing.T) {
	f := newTestFleet(t)
	f.mustFail(ExitUsage, `unknown command "cnofig"`, "cnofig")
	f.mustFail(ExitUsage, `unknown command "aply"`, "config", "aply")
	f.mustFail(ExitUsage, "accepts 2 arg(s)", "key", "add", "mill")
	f.mustFail(ExitUsage, "unknown flag", "status", "--nodes", "x")
	f.mustFail(ExitUsage, "neither table nor json", "version", "-o", "xml")
	f.env["CROCUSYOKE_PLATFORM"] = ""
	f.mustFail(ExitUsage, "--platform and --deployment are needed", "status")
	f.mustFail(ExitError, "fleet.toml:1: profil: unknown key", "config", "check", f.writeFile("profil = 1\n"))
}

// TestSecretsAreNotPrinted checks that no command prints the hash of a key or the token secret,
// and that a new key is printed only by the command that adds it.
func TestSecretsAreNotPrinted(t *testing.T) {
	f := newTestFleet(t)
	f.mustRun("config", "apply", "../../examples/trust/fleet.toml")
	var result changeResult
	must.NoError(t, json.Unmarshal([]byte(f.mustRun("key", "add", "trust-desk", "new", "-o", "json")), &result))
	added := result.Key
	state, err := change.Read(context.Background(), f.store, "trust")
	must.NoError(t, err)
	must.Eq(t, fleet.HashKey(added.Key), state.Config.Customer("trust-desk").Key("new").Hash)

	f.mustRun("key", "list")
	f.mustRun("key", "withdraw", "trust-desk", "demo")
	f.mustFail(ExitError, `has no key "demo"`, "key", "withdraw", "trust-desk", "demo")
	f.mustFail(ExitError, `has a key "new" already`, "key", "add", "trust-desk", "new")
	for _, form := range []string{"table", "json"} {
		for _, command := range []string{"config show", "config show --version 1", "config history", "audit", "key list", "customer list", "profile list"} {
			f.mustRun(append(strings.Fields(command), "-o", form)...)
		}
	}
	printed := f.allOutput.String()
	must.Eq(t, 1, strings.Count(printed, added.Key))
	must.StrNotContains(t, printed, state.Config.TokenSecret)
	for _, secret := range []string{"demo-trust-desk", "demo-hostel-morbi", added.Key} {
		must.StrNotContains(t, printed, fleet.HashKey(secret))
	}
}

func TestOptionsFromFileAndEnvironment(t *testing.T) {
	f := newTestFleet(t)
	path := f.writeFile("platform = 'http://file'\ndeployment = 'file'\n")
	f.env = map[string]string{OperatorFileEnvVar: path, "CROCUSYOKE_DEPLOYMENT": "env"}
	a := &app{hooks: Hooks{Getenv: func(name string) string { return f.env[name] }}}
	a.flags.As = "flag"
	o, err := a.options()
	must.NoError(t, err)
	must.Eq(t, "http://file env flag table", fmt.Sprint(o.Platform, " ", o.Deployment, " ", o.As, " ", o.Output))
	f.env[OperatorFileEnvVar] = f.writeFile("platfrom = 'x'\n")
	_, err = a.options()
	must.ErrorContains(t, err, "fleet.toml:1: platfrom: unknown key")
}

// TestHostedFleetNeedsNoOperatorFile checks that status, on a VM of the users' platform, needs
// only the VM's settings file, and config check only the configuration document.
func TestHostedFleetNeedsNoOperatorFile(t *testing.T) {
	f := newTestFleet(t)
	want := f.mustRun("status")
	must.Eq(t, want, f.mustRun("status", "--hosted", "boot.toml"))
	f.env[HostedSettingsEnvVar] = "boot.toml"
	must.Eq(t, want, f.mustRun("status"))
	code, output := f.run("status", "--hosted", "missing.toml")
	must.Eq(t, ExitError, code)
	must.StrContains(t, output, "no such file")
	must.StrContains(t, f.mustRun("config", "check", "--hosted", "sound.json"), "2 customers")
	code, output = f.run("config", "check", "--hosted", "desired.json")
	must.Eq(t, ExitError, code)
	must.StrContains(t, output, "desired.json:3: unknown type")
}

func TestAuditOfPromotions(t *testing.T) {
	f := newTestFleet(t)
	entry := audit.Entry{ID: "1", Who: "n2", Changes: []fleet.Change{
		{Op: fleet.OpChange, Object: "group ledger-1", Field: "primary", From: "t1", To: "t2"},
	}}
	name, err := audit.Append(t.Context(), f.store, entry)
	must.NoError(t, err)
	row := fmt.Sprintf(`{"term":2,"primary":"t2","audit":%q}`, name)
	_, err = f.store.Put(t.Context(), promotion.RowKey("trust", "ledger-1"), 0, []byte(row))
	must.NoError(t, err)
	must.StrContains(t, f.mustRun("audit", "--group", "ledger-1"), `group ledger-1: primary "t1" -> "t2"`)
	must.StrNotContains(t, f.mustRun("audit"), "ledger-1")
	f.store.SetOutage(true)
	f.mustFail(ExitUnavailable, "outage", "audit", "--group", "ledger-1")
}

// TestDeploymentThatIsNoName guards against a configuration that is written over the record of a group's
// promotions: the row of deployment "trust/group" would be that of a group called "config" of "trust".
func TestDeploymentThatIsNoName(t *testing.T) {
	f := newTestFleet(t)
	for _, name := range []string{"trust/group", "trust ", "a\nb", "~"} {
		f.mustFail(ExitUsage, "is not a valid name", "--deployment", name, "config", "apply", "--from", "0", "../../examples/trust/fleet.toml")
	}
	_, err := f.store.Get(t.Context(), promotion.RowKey("trust", "config"))
	must.True(t, platform.ErrNotFound.Has(err))
}
