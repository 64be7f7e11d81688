package deploy

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"
	"golang.org/x/sync/errgroup"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/platform"
	"crocusyoke/internal/standin/certs"
	"crocusyoke/internal/standin/platformd"
	"crocusyoke/internal/standin/supervise"
)

// Time limits and intervals for starting and stopping processes.
const (
	// StartTimeout bounds Start.
	StartTimeout = 30 * time.Second
	// NodeStopTimeout bounds the graceful shutdown of the nodes.
	NodeStopTimeout = 15 * time.Second
	// StandinStopTimeout bounds the graceful shutdown of the platform and the targets.
	StandinStopTimeout = 5 * time.Second
	// retryInterval is the pause between two attempts to reach a process.
	retryInterval = 50 * time.Millisecond
	// attemptTimeout bounds one attempt to reach a process.
	attemptTimeout = 3 * time.Second
	// startupVMLag is the lag of the VM list until the deployment is ready.
	startupVMLag = time.Millisecond
)

// Binaries holds the paths of the programs to run.
type Binaries struct {
	// Crocusyoke is the proxy. Standin provides the platform and target stand-ins.
	Crocusyoke, Standin string
}

// DefaultBinaries returns bin/crocusyoke and, as Standin, the running program.
func DefaultBinaries() (Binaries, error) {
	self, err := os.Executable()
	return Binaries{Crocusyoke: filepath.Join("bin", "crocusyoke"), Standin: self}, Error.Wrap(err)
}

// Start starts every process, applies the initial configuration and returns once every node
// serves callers. If it fails, processes may be left running; Processes.Close kills them.
func (d *Deployment) Start(ctx context.Context, b Binaries) error {
	ctx, cancel := context.WithTimeout(ctx, StartTimeout)
	defer cancel()
	if err := d.startStandins(ctx, b); err != nil {
		return err
	}
	if err := d.registerVMs(ctx); err != nil {
		return err
	}
	for _, n := range d.Nodes {
		if err := d.Processes.Start(d.nodeSpec(b, n)); err != nil {
			return err
		}
	}
	for _, n := range d.Nodes {
		if err := d.awaitReady(ctx, n.Name, func(ctx context.Context) error { return probeHTTP(ctx, n.Ops) }); err != nil {
			return err
		}
	}
	if err := d.applyInitialConfig(ctx, b); err != nil {
		return err
	}
	if err := d.awaitAllServices(ctx); err != nil {
		return err
	}
	lag := platformd.Faults{VMLag: fleet.Duration(platformd.DefaultVMLag)}
	return Error.Wrap(d.PlatformAdmin().SetFaults(ctx, lag))
}

func (d *Deployment) startStandins(ctx context.Context, b Binaries) error {
	if err := d.Processes.Start(d.platformSpec(b)); err != nil {
		return err
	}
	for _, t := range d.Targets {
		if err := d.Processes.Start(d.targetSpec(b, t)); err != nil {
			return err
		}
	}
	err := d.awaitReady(ctx, PlatformName, func(ctx context.Context) error {
		_, err := d.PlatformAdmin().Counters(ctx)
		return err
	})
	for _, t := range d.Targets {
		if err != nil {
			return err
		}
		err = d.awaitReady(ctx, t.Name, func(ctx context.Context) error {
			_, err := d.TargetAdmin(t).State(ctx)
			return err
		})
	}
	return err
}

func (d *Deployment) platformSpec(b Binaries) supervise.Spec {
	return d.processSpec(PlatformName, b.Standin, "platform", "--address", d.Platform, "--vm-lag", startupVMLag.String())
}

func (d *Deployment) targetSpec(b Binaries, t Target) supervise.Spec {
	return d.processSpec(t.Name, b.Standin, "target",
		"--name", t.Name, "--dir", d.path(filepath.Join("data", t.Name)),
		"--address", t.Address, "--admin", t.Admin, "--follow", t.Follow,
		"--user", d.User, "--password", d.Password,
		"--slots", strconv.Itoa(d.Plan.Slots), "--connections", strconv.Itoa(d.Plan.Connections),
		"--accept-delay", d.Plan.AcceptDelay.String(), "--echo="+strconv.FormatBool(d.Plan.Echo),
		"--service-time", d.Plan.ServiceTime.String(), "--lag", d.Plan.Lag.String())
}

func (d *Deployment) nodeSpec(b Binaries, n Node) supervise.Spec {
	return d.processSpec(n.Name, b.Crocusyoke, "serve", "--settings", n.Settings)
}

func (d *Deployment) processSpec(name, path string, args ...string) supervise.Spec {
	return supervise.Spec{Name: name, Path: path, Args: args, Log: d.path(name + ".log")}
}

func (d *Deployment) registerVMs(ctx context.Context) error {
	for _, n := range d.Nodes {
		if err := d.PlatformAdmin().PutVM(ctx, n.VM(platform.VMLive)); err != nil {
			return Error.New("register %s: %w", n.Name, err)
		}
	}
	return nil
}

// VM returns the node's entry in the platform's VM list.
func (n Node) VM(state platform.VMState) platform.VM {
	return platform.VM{Name: n.Name, Address: n.Peers, Domain: n.Domain, State: state}
}

// applyInitialConfig applies the initial configuration with the operators' command line.
func (d *Deployment) applyInitialConfig(ctx context.Context, b Binaries) error {
	return d.Operate(ctx, b, "config", "apply", d.path(configFile), "--from", "0")
}

// Operate runs one operator command against the deployment.
func (d *Deployment) Operate(ctx context.Context, b Binaries, args ...string) error {
	_, err := d.OperateOutput(ctx, b, args...)
	return err
}

// OperateOutput runs one operator command and returns its standard output and standard error.
// args holds at least two arguments, such as config and apply.
func (d *Deployment) OperateOutput(ctx context.Context, b Binaries, args ...string) ([]byte, error) {
	args = append(args,
		"--platform", d.PlatformURL(), "--deployment", d.Plan.Name,
		"--certificate", d.certificatePath(certs.Operator), "--key", d.keyPath(certs.Operator),
		"--authority", d.certificatePath(certs.Authority))
	output, err := exec.CommandContext(ctx, b.Crocusyoke, args...).CombinedOutput()
	if err != nil {
		return output, Error.New("crocusyoke %s %s: %w: %s", args[0], args[1], err, output)
	}
	return output, nil
}

// awaitAllServices waits until every node serves a customer's query to every service.
func (d *Deployment) awaitAllServices(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, n := range d.Nodes {
		group.Go(func() error {
			for _, service := range d.Plan.Services {
				url := d.URL(d.firstCustomerOf(service), n, service)
				err := d.awaitReady(ctx, n.Name, func(ctx context.Context) error { return probeQuery(ctx, url) })
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	return group.Wait()
}

// firstCustomerOf returns the first customer that may use a service.
func (d *Deployment) firstCustomerOf(service string) Customer {
	for _, c := range d.Customers {
		if c.Foreign != service {
			return c
		}
	}
	return Customer{}
}

// URL returns the connection string with which a customer reaches a service through a node.
func (d *Deployment) URL(c Customer, n Node, service string) string {
	return fmt.Sprintf("postgres://%s:%s@%s/%s?sslmode=verify-full&sslrootcert=%s",
		c.Name, c.Key, n.Callers, service, d.certificatePath(certs.Authority))
}

// URLs returns a connection string for each customer and node, to the customer's first service.
func (d *Deployment) URLs() []string {
	var urls []string
	for _, c := range d.Customers {
		for _, n := range d.Nodes {
			urls = append(urls, d.URL(c, n, c.Services[0]))
		}
	}
	return urls
}

// awaitReady repeats attempt until it succeeds. It fails if ctx ends or the process called name
// exits.
func (d *Deployment) awaitReady(ctx context.Context, name string, attempt func(context.Context) error) error {
	for {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := attempt(attemptCtx)
		cancel()
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil:
			return Error.New("%s is not ready (see %s): %w", name, d.path(name+".log"), err)
		case !d.Processes.IsRunning(name):
			return Error.New("%s has ended (see %s): %w", name, d.path(name+".log"), d.Processes.Exit(name))
		}
		time.Sleep(retryInterval)
	}
}

// probeHTTP checks that a node's operations interface responds, with any status.
func probeHTTP(ctx context.Context, address string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/debug/vars", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// probeQuery checks that a query through the connection string url succeeds.
func probeQuery(ctx context.Context, url string) error {
	conn, err := pgx.Connect(ctx, url)
	if err != nil {
		return err
	}
	defer conn.Close(ctx)
	_, err = conn.Exec(ctx, "SELECT 1")
	return err
}

// Stop stops every process gracefully, the nodes before the targets and the platform, and kills
// those that do not exit in time. The Deployment must not be used afterwards.
func (d *Deployment) Stop() error {
	defer d.Processes.Close()
	nodes := d.nodeNames()
	var standins []string
	for _, t := range d.Targets {
		standins = append(standins, t.Name)
	}
	standins = append(standins, PlatformName)
	err := d.Processes.Stop(nodes, NodeStopTimeout)
	if stopErr := d.Processes.Stop(standins, StandinStopTimeout); err == nil {
		err = stopErr
	}
	return Error.Wrap(err)
}
