package deploy

import (
	"crypto/rand"
	"os"
	"path/filepath"
	"sync"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/standin/certs"
	"crocusyoke/internal/standin/platformd"
	"crocusyoke/internal/standin/supervise"
	"crocusyoke/internal/standin/targetd/admin"
)

// Node is one node of a deployment.
type Node struct {
	Name   string `json:"name"`
	Domain string `json:"domain"`
	// Callers, Peers and Ops are the IP:port on which the node serves callers, other nodes and
	// operators' tools.
	Callers string `json:"callers"`
	Peers   string `json:"peers"`
	Ops     string `json:"ops"`
	// Settings is the path of the node's settings file.
	Settings string `json:"settings"`
}

// Target is one target of a deployment.
type Target struct {
	Name   string `json:"name"`
	Group  string `json:"group"`
	Domain string `json:"domain"`
	// Address and Admin are the IP:port of the database and of the administrative interface.
	Address string `json:"address"`
	Admin   string `json:"admin"`
	// Follow is the address of the group's initial primary; empty for that primary itself.
	Follow string `json:"follow"`
}

// Customer is one customer of a deployment.
type Customer struct {
	CustomerPlan
	KeyID string `json:"key_id"`
	Key   string `json:"key"`
	// Services are the services that the customer may use; Foreign is the one it may not use.
	Services []string `json:"services"`
	Foreign  string   `json:"foreign"`
}

// Deployment is a Plan with ports, keys and files. The names of its nodes and targets are also
// the names of their processes.
type Deployment struct {
	Plan Plan   `json:"-"`
	Dir  string `json:"dir"`
	// Platform is the platform's IP:port.
	Platform string `json:"platform"`
	// User and Password are the proxy's credentials at the targets.
	User      string     `json:"user"`
	Password  string     `json:"password"`
	Nodes     []Node     `json:"nodes"`
	Targets   []Target   `json:"targets"`
	Customers []Customer `json:"customers"`
	// Config is the initial configuration, which Start applies.
	Config *fleet.Config `json:"-"`

	// Processes runs the deployment's processes.
	Processes *supervise.Supervisor `json:"-"`

	mu           sync.Mutex
	replacements map[string]string // the VM that replaced a node last, by the node's name
	spareVMsUsed int
}

// PlatformName is the name of the platform stand-in's process.
const PlatformName = "platform"

// proxyUser is the proxy's user name at the targets.
const proxyUser = "crocusyoke"

// New assigns ports, keys and files to a plan and writes to dir every file that the processes
// need. It empties dir first, and fails if dir holds files but no deployment made by New. The
// caller must call Stop, or Processes.Close if Start has failed.
func New(plan Plan, dir string) (*Deployment, error) {
	dir, err := filepath.Abs(dir)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	d := &Deployment{Plan: plan, Dir: dir, User: proxyUser, Password: rand.Text(), Processes: supervise.New(), replacements: make(map[string]string)}
	if err := d.buildLayout(); err != nil {
		return nil, err
	}
	if err := d.prepareDirectory(); err != nil {
		return nil, err
	}
	return d, d.writeFiles()
}

// PlatformURL returns the platform's base URL.
func (d *Deployment) PlatformURL() string { return "http://" + d.Platform }

// PlatformAdmin returns a client of the platform's administrative interface.
func (d *Deployment) PlatformAdmin() *platformd.Admin { return platformd.NewAdmin(d.PlatformURL()) }

// TargetAdmin returns a client of a target's administrative interface.
func (d *Deployment) TargetAdmin(t Target) *admin.Client { return admin.NewClient(t.Admin) }

// buildLayout assigns names, failure domains, ports and keys, and builds the configuration.
func (d *Deployment) buildLayout() error {
	ports := newPortAllocator()
	defer ports.release()
	d.Platform = ports.reserveTCP()
	d.addNodes(ports)
	d.addTargets(ports)
	d.addCustomers()
	d.Config = d.buildConfig()
	return ports.err
}

func (d *Deployment) addNodes(ports *portAllocator) {
	for i := range d.Plan.Nodes {
		name := vmName(d.Plan.Name, i)
		d.Nodes = append(d.Nodes, Node{
			Name:     name,
			Domain:   d.domain(i),
			Callers:  ports.reserveTCP(),
			Peers:    ports.reserveUDP(),
			Ops:      ports.reserveTCP(),
			Settings: filepath.Join(d.Dir, name+".toml"),
		})
	}
}

func (d *Deployment) addTargets(ports *portAllocator) {
	for g, service := range d.Plan.Services {
		var primary string
		for i := range targetsPerService {
			t := Target{
				Name:    targetName(service, i),
				Group:   service,
				Domain:  d.domain(g + i),
				Address: ports.reserveTCP(),
				Admin:   ports.reserveTCP(),
				Follow:  primary,
			}
			if i == 0 {
				primary = t.Address
			}
			d.Targets = append(d.Targets, t)
		}
	}
}

// addCustomers gives each customer a key and access to all services but one.
func (d *Deployment) addCustomers() {
	for i, plan := range d.Plan.Customers {
		c := Customer{CustomerPlan: plan, KeyID: "first", Key: fleet.NewKey()}
		for j := range d.Plan.Services {
			service := d.Plan.Services[(i+j)%len(d.Plan.Services)]
			if j == len(d.Plan.Services)-1 {
				c.Foreign = service
				continue
			}
			c.Services = append(c.Services, service)
		}
		d.Customers = append(d.Customers, c)
	}
}

// domain returns the failure domain for index i; the plan's domains are used in turn.
func (d *Deployment) domain(i int) string { return d.Plan.Domains[i%len(d.Plan.Domains)] }

// path returns the path of a file in the deployment's directory.
func (d *Deployment) path(name string) string { return filepath.Join(d.Dir, name) }

// prepareDirectory creates or empties the directory. To protect other files it fails if the
// directory is not empty and holds no manifest.
func (d *Deployment) prepareDirectory() error {
	entries, err := os.ReadDir(d.Dir)
	if err == nil && len(entries) > 0 {
		if _, err := os.Stat(d.path(manifestFile)); err != nil {
			return Error.New("%s is not empty and holds no %s", d.Dir, manifestFile)
		}
		if err := os.RemoveAll(d.Dir); err != nil {
			return Error.Wrap(err)
		}
	}
	return Error.Wrap(os.MkdirAll(d.Dir, 0o700))
}

func (d *Deployment) certificateDir() string { return d.path("certs") }

func (d *Deployment) certificatePath(name string) string {
	return certs.Certificate(d.certificateDir(), name)
}

func (d *Deployment) keyPath(name string) string { return certs.Key(d.certificateDir(), name) }
