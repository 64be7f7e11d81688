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

// bench is a platform and nodes that take every version at once, unless stuck.
type bench struct {
	t     *testing.T
	store *platformtest.Fake
	stuck bool
	env   map[string]string
	// printed is all that any command wrote.
	printed strings.Builder

	mu  sync.Mutex
	now time.Time
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, store: platformtest.New(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	for _, name := range []string{"n1", "n2", "n3"} {
		vm := platform.VM{Name: name, Address: name, Domain: "rajkot-a"}
		b.store.SetVMs(append(vms(t, b.store), vm)...)
	}
	b.env = map[string]string{
		"CROCUSYOKE_PLATFORM": "http://127.0.0.1:1", "CROCUSYOKE_DEPLOYMENT": "trust",
		"CROCUSYOKE_CERTIFICATE": "c", "CROCUSYOKE_KEY": "k", "CROCUSYOKE_AUTHORITY": "a",
		"CROCUSYOKE_AS": "asha",
	}
	return b
}

func vms(t *testing.T, store *platformtest.Fake) []platform.VM {
	t.Helper()
	listed, err := store.ListVMs(context.Background())
	must.NoError(t, err)
	return listed
}

// Now implements clock.Clock.
func (b *bench) Now() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.now
}

// Sleep implements clock.Clock.
func (b *bench) Sleep(ctx context.Context, d time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.now = b.now.Add(d)
	return ctx.Err()
}

// Call implements peer.Caller.
func (b *bench) Call(ctx context.Context, address string, _ peer.Kind, _, reply any) error {
	if b.stuck && address != "n1" {
		return errors.New("no answer")
	}
	state, err := change.Read(ctx, b.store, "trust")
	*reply.(*status.Report) = status.Report{Node: address, Domain: "rajkot-a", Run: "1", ConfigVersion: state.Version}
	return err
}

// run runs one command.
func (b *bench) run(args ...string) (code int, output string) {
	b.t.Helper()
	var out bytes.Buffer
	code = Main(context.Background(), args, &out, &out, Hooks{
		Serve:    func(context.Context, *settings.Settings) error { return nil },
		Platform: func(Options) (platform.Platform, error) { return b.store, nil },
		Peers:    func(Options) (peer.Caller, error) { return b, nil },
		Hosted: func(file string) (platform.VMs, peer.Caller, error) {
			if file != "boot.toml" {
				return nil, nil, errors.New("no such file")
			}
			return b.store, b, nil
		},
		CheckHosted: func(file string) (*catalog.Configuration, error) {
			if file != "sound.json" {
				return nil, errors.New("desired.json:3: unknown type")
			}
			return &catalog.Configuration{Version: 7, Customers: make([]fleet.Customer, 2)}, nil
		},
		Clock:   b,
		Getenv:  func(name string) string { return b.env[name] },
		Release: "test",
	})
	b.printed.WriteString(out.String())
	return code, out.String()
}

// ok runs a command that must succeed.
func (b *bench) ok(args ...string) string {
	b.t.Helper()
	code, output := b.run(args...)
	must.Eq(b.t, ExitOK, code, must.Sprint(output))
	return output
}

// fails runs a command that must end with code and say want.
func (b *bench) fails(code int, want string, args ...string) {
	b.t.Helper()
	got, output := b.run(args...)
	must.Eq(b.t, code, got, must.Sprint(output))
	must.StrContains(b.t, output, want)
}

func (b *bench) file(text string) string {
	path := filepath.Join(b.t.TempDir(), "fleet.toml")
	must.NoError(b.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func TestOperatorsDay(t *testing.T) {
	b := newBench(t)
	b.ok("config", "check", "../../examples/trust/fleet.toml")
	must.StrContains(t, b.ok("config", "apply", "../../examples/trust/fleet.toml"), "version 1 accepted: in force at 3 of 3 nodes")
	must.StrContains(t, b.ok("config", "apply", "../../examples/trust/fleet.toml", "--from", "1"), "nothing to change")
	must.StrContains(t, b.ok("profile", "set", "rates", "--max-age", "30s"), `change profile rates: max_age "1m0s" -> "30s"`)
	must.StrContains(t, b.ok("profile", "set", "new"), "add profile new")
	must.StrContains(t, b.ok("customer", "set", "hostel-morbi", "--rate", "60"), `rate "50" -> "60"`)
	must.StrContains(t, b.ok("target", "drain", "orders-2"), `leaving "false" -> "true"`)
	must.StrContains(t, b.ok("target", "list"), "orders-2")
	must.StrContains(t, b.ok("target", "undrain", "orders-2"), `leaving "true" -> "false"`)
	must.StrContains(t, b.ok("config", "history"), "asha")
	must.StrContains(t, b.ok("audit"), "version 1 -> 2")
	must.StrContains(t, b.ok("status"), "n3")
	must.StrContains(t, b.ok("profile", "list"), "majority")
	must.StrContains(t, b.ok("customer", "list"), "trust-desk")
	must.StrContains(t, b.ok("version"), "crocusyoke test")

	var result changeResult
	must.NoError(t, json.Unmarshal([]byte(b.ok("target", "drain", "orders-2", "-o", "json")), &result))
	must.Eq(t, "accepted", result.State)
	must.Eq(t, 7, result.Version)
}

func TestShownFileCanBeAppliedAgain(t *testing.T) {
	b := newBench(t)
	b.ok("config", "apply", "../../examples/trust/fleet.toml")
	before, err := change.Read(context.Background(), b.store, "trust")
	must.NoError(t, err)
	shown := b.ok("config", "show")
	edited := strings.Replace(shown, "max_age = '1m0s'", "max_age = '2m0s'", 1)
	must.NotEq(t, shown, edited)
	b.ok("config", "apply", b.file(edited))
	after, err := change.Read(context.Background(), b.store, "trust")
	must.NoError(t, err)
	must.Eq(t, before.Config.TokenSecret, after.Config.TokenSecret)
	must.Eq(t, before.Config.Customers, after.Config.Customers)

	b.fails(ExitConflict, "replaced by version 2 of asha", "config", "apply", b.file(shown+"# edited\n[[profile]]\nname = 'late'\n"))
	b.fails(ExitUsage, "give --from; the version in force is 2", "config", "apply", "../../examples/trust/fleet.toml")
	must.StrContains(t, b.ok("config", "show", "--version", "1"), "max_age = '1m0s'")
}

func TestRaceOfOperators(t *testing.T) {
	b := newBench(t)
	b.ok("config", "apply", "../../examples/trust/fleet.toml")
	b.store.BeforePut(func() { b.ok("customer", "set", "hostel-morbi", "--rate", "70", "--as", "bina") })
	b.fails(ExitConflict, "replaced by version 2 of bina at 2026-01-01T00:00:00Z", "customer", "set", "hostel-morbi", "--rate", "60")
	must.StrContains(t, b.ok("customer", "list"), "70")
}

func TestPendingWithoutMajority(t *testing.T) {
	b := newBench(t)
	b.ok("config", "apply", "../../examples/trust/fleet.toml")
	b.stuck = true
	b.fails(ExitPending, "version 2 pending: in force at 1 of 3 nodes, not at n2, n3", "target", "drain", "orders-2", "--wait", "20ms")
	must.StrContains(t, b.ok("target", "undrain", "orders-2", "--wait", "0"), "version 3 written")
	must.StrContains(t, b.ok("status"), "silent")
}

func TestUnavailablePlatform(t *testing.T) {
	b := newBench(t)
	b.ok("config", "apply", "../../examples/trust/fleet.toml")
	b.store.SetOutage(true)
	b.fails(ExitUnavailable, "outage", "config", "show")
	b.fails(ExitUnavailable, "outage", "key", "withdraw", "trust-desk", "demo")
}

func TestUsageErrors(t *testing.T) {
	b := newBench(t)
	b.fails(ExitUsage, `unknown command "cnofig"`, "cnofig")
	b.fails(ExitUsage, `unknown command "aply"`, "config", "aply")
	b.fails(ExitUsage, "accepts 2 arg(s)", "key", "add", "mill")
	b.fails(ExitUsage, "unknown flag", "status", "--nodes", "x")
	b.fails(ExitUsage, "neither table nor json", "version", "-o", "xml")
	b.env["CROCUSYOKE_PLATFORM"] = ""
	b.fails(ExitUsage, "--platform and --deployment are needed", "status")
	b.fails(ExitError, "fleet.toml:1: profil: unknown key", "config", "check", b.file("profil = 1\n"))
}

// No command prints a hash of a key or the token secret, and a new key is printed once.
func TestSecretsAreNotPrinted(t *testing.T) {
	b := newBench(t)
	b.ok("config", "apply", "../../examples/trust/fleet.toml")
	var result changeResult
	must.NoError(t, json.Unmarshal([]byte(b.ok("key", "add", "trust-desk", "new", "-o", "json")), &result))
	added := result.Key
	state, err := change.Read(context.Background(), b.store, "trust")
	must.NoError(t, err)
	must.Eq(t, fleet.HashKey(added.Key), state.Config.Customer("trust-desk").Key("new").Hash)

	b.ok("key", "list")
	b.ok("key", "withdraw", "trust-desk", "demo")
	b.fails(ExitError, `has no key "demo"`, "key", "withdraw", "trust-desk", "demo")
	b.fails(ExitError, `has a key "new" already`, "key", "add", "trust-desk", "new")
	for _, form := range []string{"table", "json"} {
		for _, command := range []string{"config show", "config show --version 1", "config history", "audit", "key list", "customer list", "profile list"} {
			b.ok(append(strings.Fields(command), "-o", form)...)
		}
	}
	printed := b.printed.String()
	must.Eq(t, 1, strings.Count(printed, added.Key))
	must.StrNotContains(t, printed, state.Config.TokenSecret)
	for _, secret := range []string{"demo-trust-desk", "demo-hostel-morbi", added.Key} {
		must.StrNotContains(t, printed, fleet.HashKey(secret))
	}
}

func TestOptionsFromFileAndEnvironment(t *testing.T) {
	b := newBench(t)
	path := b.file("platform = 'http://file'\ndeployment = 'file'\n")
	b.env = map[string]string{OperatorFileVariable: path, "CROCUSYOKE_DEPLOYMENT": "env"}
	a := &app{hooks: Hooks{Getenv: func(name string) string { return b.env[name] }}}
	a.flags.As = "flag"
	o, err := a.options()
	must.NoError(t, err)
	must.Eq(t, "http://file env flag table", fmt.Sprint(o.Platform, " ", o.Deployment, " ", o.As, " ", o.Output))
	b.env[OperatorFileVariable] = b.file("platfrom = 'x'\n")
	_, err = a.options()
	must.ErrorContains(t, err, "fleet.toml:1: platfrom: unknown key")
}

// TestHostedFleet: on a VM of the users' platform, status and config check need no operator file.
func TestHostedFleet(t *testing.T) {
	b := newBench(t)
	want := b.ok("status")
	must.Eq(t, want, b.ok("status", "--hosted", "boot.toml"))
	b.env[HostedFileVariable] = "boot.toml"
	must.Eq(t, want, b.ok("status"))
	code, output := b.run("status", "--hosted", "missing.toml")
	must.Eq(t, ExitError, code)
	must.StrContains(t, output, "no such file")
	must.StrContains(t, b.ok("config", "check", "--hosted", "sound.json"), "2 customers")
	code, output = b.run("config", "check", "--hosted", "desired.json")
	must.Eq(t, ExitError, code)
	must.StrContains(t, output, "desired.json:3: unknown type")
}

func TestAuditOfPromotions(t *testing.T) {
	b := newBench(t)
	entry := audit.Entry{ID: "1", Who: "n2", Changes: []fleet.Change{
		{Op: fleet.OpChange, Object: "group ledger-1", Field: "primary", From: "t1", To: "t2"},
	}}
	name, err := audit.Append(t.Context(), b.store, entry)
	must.NoError(t, err)
	row := fmt.Sprintf(`{"term":2,"primary":"t2","audit":%q}`, name)
	_, err = b.store.Put(t.Context(), promotion.RowKey("trust", "ledger-1"), 0, []byte(row))
	must.NoError(t, err)
	must.StrContains(t, b.ok("audit", "--group", "ledger-1"), `group ledger-1: primary "t1" -> "t2"`)
	must.StrNotContains(t, b.ok("audit"), "ledger-1")
	b.store.SetOutage(true)
	b.fails(ExitUnavailable, "outage", "audit", "--group", "ledger-1")
}
