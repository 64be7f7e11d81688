package deploy

import (
	"encoding/json"
	"fmt"
	"net"
	"os"

	"github.com/pelletier/go-toml/v2"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/settings"
	"crocusyoke/internal/standin/certs"
)

// Names of files in a deployment's directory.
const (
	// manifestFile holds the Deployment as JSON, for other tools.
	manifestFile = "deployment.json"
	// configFile holds the initial configuration.
	configFile = "config.toml"
)

// Limits of a node for its callers.
const (
	maxCallerConnections = 2000
	maxMessageBytes      = 1 << 20
)

func vmName(plan string, i int) string { return fmt.Sprintf("%s-vm-%d", plan, i+1) }

func targetName(service string, i int) string { return fmt.Sprintf("%s-%c", service, 'a'+i) }

func (d *Deployment) writeFiles() error {
	if err := certs.Write(d.certificateDir(), d.nodeNames()); err != nil {
		return Error.Wrap(err)
	}
	for _, n := range d.Nodes {
		body, err := toml.Marshal(d.nodeSettings(n))
		if err != nil {
			return Error.Wrap(err)
		}
		if err := os.WriteFile(n.Settings, body, 0o600); err != nil {
			return Error.Wrap(err)
		}
	}
	body, err := fleet.Encode(d.Config)
	if err != nil {
		return Error.Wrap(err)
	}
	if err := os.WriteFile(d.path(configFile), body, 0o600); err != nil {
		return Error.Wrap(err)
	}
	return d.writeManifest()
}

func (d *Deployment) writeManifest() error {
	body, err := json.MarshalIndent(d, "", "  ")
	if err != nil {
		return Error.Wrap(err)
	}
	return Error.Wrap(os.WriteFile(d.path(manifestFile), body, 0o600))
}

func (d *Deployment) nodeSettings(n Node) *settings.Settings {
	s := settings.Defaults()
	s.Node.Name, s.Node.Domain, s.Node.Deployment = n.Name, n.Domain, d.Plan.Name
	s.Callers.Address, s.Callers.Plaintext = n.Callers, true
	s.Callers.Certificate, s.Callers.Key = d.certificatePath(certs.Callers), d.keyPath(certs.Callers)
	s.Callers.MaxConnections, s.Callers.MaxMessage = maxCallerConnections, maxMessageBytes
	s.Peers = settings.Peers{
		Address:     n.Peers,
		Certificate: d.certificatePath(n.Name), Key: d.keyPath(n.Name),
		Authority: d.certificatePath(certs.Authority),
	}
	s.Platform = settings.Platform{URL: d.PlatformURL()}
	s.Targets = settings.Targets{User: d.User, Password: d.Password}
	s.Ops = settings.Ops{Address: n.Ops, Profiling: d.Plan.Profiling}
	s.Policy = d.Plan.Policy
	s.Delay = settings.Delay{Domains: fleet.Duration(d.Plan.DomainDelay), Callers: fleet.Duration(d.Plan.CallerDelay)}
	return s
}

// buildConfig returns the initial configuration.
func (d *Deployment) buildConfig() *fleet.Config {
	c := &fleet.Config{TokenSecret: fleet.NewTokenSecret(), Profiles: d.Plan.Profiles}
	for _, customer := range d.Customers {
		c.Customers = append(c.Customers, fleet.Customer{
			Name: customer.Name, Rate: customer.Rate, Burst: customer.Burst, Weight: customer.Weight,
			Keys: []fleet.Key{{ID: customer.KeyID, Hash: fleet.HashKey(customer.Key)}},
		})
	}
	for _, service := range d.Plan.Services {
		c.Services = append(c.Services, fleet.Service{
			Name: service, Group: service, Profile: d.Plan.Profile, Customers: d.customersOf(service),
		})
		c.Groups = append(c.Groups, fleet.Group{Name: service, Targets: d.targetsOf(service)})
	}
	if d.Plan.Open != "" {
		c.Services = append(c.Services, fleet.Service{
			Name: d.Plan.Open, Group: d.Plan.Services[0], Profile: d.Plan.OpenProfile,
			Customers: []string{}, Open: true,
		})
	}
	return c
}

// customersOf returns the names of the customers that may use a service.
func (d *Deployment) customersOf(service string) []string {
	var names []string
	for _, c := range d.Customers {
		if c.Foreign != service {
			names = append(names, c.Name)
		}
	}
	return names
}

func (d *Deployment) targetsOf(group string) []fleet.Target {
	var targets []fleet.Target
	for _, t := range d.Targets {
		if t.Group == group {
			targets = append(targets, fleet.Target{
				Name: t.Name, Address: t.Address, Domain: t.Domain,
				Slots: d.Plan.Slots, Connections: d.Plan.Connections,
			})
		}
	}
	return targets
}

// portAllocator reserves free ports chosen by the kernel. It keeps listening on them until
// release, so that no port is handed out twice. err is the last error.
type portAllocator struct {
	listeners []interface{ Close() error }
	err       error
}

// loopbackAnyPort has the kernel choose a free port on loopback.
const loopbackAnyPort = "127.0.0.1:0"

func newPortAllocator() *portAllocator { return &portAllocator{} }

func (p *portAllocator) reserveTCP() string {
	listener, err := net.Listen("tcp", loopbackAnyPort)
	if err != nil {
		p.err = Error.Wrap(err)
		return ""
	}
	p.listeners = append(p.listeners, listener)
	return listener.Addr().String()
}

func (p *portAllocator) reserveUDP() string {
	conn, err := net.ListenPacket("udp", loopbackAnyPort)
	if err != nil {
		p.err = Error.Wrap(err)
		return ""
	}
	p.listeners = append(p.listeners, conn)
	return conn.LocalAddr().String()
}

// release closes the listeners, so that the processes can listen on the ports.
func (p *portAllocator) release() {
	for _, listener := range p.listeners {
		_ = listener.Close()
	}
}
