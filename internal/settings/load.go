package settings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/tomlfile"
)

// Defaults and limits of settings.
const (
	// DefaultDrain is the default time limit of a graceful stop.
	DefaultDrain = fleet.Duration(30 * time.Second)
	// DefaultMaxConnections is the default maximum number of callers' connections.
	DefaultMaxConnections = 10000
	// DefaultMaxMessage is the default maximum size of a message in bytes.
	DefaultMaxMessage = 1 << 20
	// DefaultCustomerShare is the default part of the connections that one customer may have.
	DefaultCustomerShare = 0.75
	// The default timeouts of callers.
	DefaultStartupTimeout   = fleet.Duration(10 * time.Second)
	DefaultStatementTimeout = fleet.Duration(30 * time.Second)
	DefaultWriteTimeout     = fleet.Duration(30 * time.Second)
	// MinMemory is the smallest allowed value of node.memory in bytes.
	MinMemory = 64 << 20
	// MinMaxMessage is the smallest allowed value of max_message in bytes.
	MinMaxMessage = 1 << 10
)

// Load reads and validates the settings file at path. An error is of type tomlfile.Issues and
// lists every issue with file, line and key, unless the file cannot be read.
func Load(path string) (*Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return Parse(body, path)
}

// Parse is like Load, but decodes body. The file name is used only in errors.
func Parse(body []byte, file string) (*Settings, error) {
	s := Defaults()
	doc := tomlfile.Decode(body, file, s)
	if !doc.IsValid() {
		return nil, doc.Err()
	}
	validateNode(doc, &s.Node)
	validateCallers(doc, &s.Callers)
	validatePeers(doc, &s.Peers)
	validatePlatform(doc, &s.Platform)
	validateTargets(doc, &s.Targets)
	requireAddress(doc, "ops.address", s.Ops.Address)
	requireNotNegative(doc, "delay.domains", s.Delay.Domains)
	requireNotNegative(doc, "delay.callers", s.Delay.Callers)
	validatePolicy(doc, &s.Policy)
	validatePlaces(doc, &s.Places)
	validateCold(doc, &s.Cold)
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return s, nil
}

// Defaults returns settings with all defaults.
func Defaults() *Settings {
	return &Settings{
		Node: Node{Drain: DefaultDrain},
		Callers: Callers{
			MaxConnections: DefaultMaxConnections,
			MaxMessage:     DefaultMaxMessage,
			CustomerShare:  DefaultCustomerShare,

			StartupTimeout: DefaultStartupTimeout, StatementTimeout: DefaultStatementTimeout, WriteTimeout: DefaultWriteTimeout,
		},
	}
}

func validateNode(doc *tomlfile.Document, n *Node) {
	requireName(doc, "node.name", n.Name)
	requireName(doc, "node.domain", n.Domain)
	requireName(doc, "node.deployment", n.Deployment)
	requirePositive(doc, "node.drain", n.Drain)
	if n.Memory != 0 && n.Memory < MinMemory {
		doc.Add("node.memory", "must be at least %d bytes, or 0", MinMemory)
	}
}

func validateCallers(doc *tomlfile.Document, c *Callers) {
	requireAddress(doc, "callers.address", c.Address)
	if c.Certificate == "" && c.Key == "" && !c.Plaintext {
		doc.Add("callers.certificate", "is missing, and callers.plaintext is not true")
	}
	if c.Certificate != "" || c.Key != "" {
		requireFile(doc, "callers.certificate", c.Certificate)
		requireFile(doc, "callers.key", c.Key)
	}
	if c.MaxConnections < 1 {
		doc.Add("callers.max_connections", "must be at least 1")
	}
	if c.MaxMessage < MinMaxMessage {
		doc.Add("callers.max_message", "must be at least %d bytes", MinMaxMessage)
	}
	if !(c.CustomerShare > 0 && c.CustomerShare <= 1) {
		doc.Add("callers.customer_share", "must be above 0 and at most 1")
	}
	requirePositive(doc, "callers.startup_timeout", c.StartupTimeout)
	requirePositive(doc, "callers.statement_timeout", c.StatementTimeout)
	requirePositive(doc, "callers.write_timeout", c.WriteTimeout)
}

func validatePeers(doc *tomlfile.Document, p *Peers) {
	requireAddress(doc, "peers.address", p.Address)
	requireFile(doc, "peers.certificate", p.Certificate)
	requireFile(doc, "peers.key", p.Key)
	requireFile(doc, "peers.authority", p.Authority)
}

func validatePlatform(doc *tomlfile.Document, p *Platform) {
	parsed, err := url.Parse(p.URL)
	if err != nil {
		doc.Add("platform.url", "%q is not a URL", p.URL)
		return
	}
	if parsed.Scheme != "http" && parsed.Scheme != "https" {
		doc.Add("platform.url", "%q is neither http://IP:port nor https://IP:port", p.URL)
		return
	}
	requireAddress(doc, "platform.url", parsed.Host)
}

func validateTargets(doc *tomlfile.Document, t *Targets) {
	if t.User == "" {
		doc.Add("targets.user", "is missing")
	}
}

func requireName(doc *tomlfile.Document, key, name string) {
	if !fleet.ValidName(name) {
		doc.Add(key, "%q is not a valid name: use 1 to 63 letters, digits, dots, dashes and underscores, starting with a letter or digit", name)
	}
}

func requireAddress(doc *tomlfile.Document, key, address string) {
	if _, err := netip.ParseAddrPort(address); err != nil {
		doc.Add(key, "%q is not IP:port", address)
	}
}

func requireNotNegative(doc *tomlfile.Document, key string, d fleet.Duration) {
	if d < 0 {
		doc.Add(key, "must not be negative")
	}
}

func requirePositive(doc *tomlfile.Document, key string, d fleet.Duration) {
	if d <= 0 {
		doc.Add(key, "must be above zero")
	}
}

// requireFile checks that path is given and that the process can open the file for reading.
func requireFile(doc *tomlfile.Document, key, path string) {
	if path == "" {
		doc.Add(key, "is missing")
		return
	}
	file, err := os.Open(path)
	if err != nil {
		doc.Add(key, "%v", err)
		return
	}
	file.Close()
}

func validatePlaces(doc *tomlfile.Document, p *Places) {
	for domain, region := range p.Regions {
		requireName(doc, "places.regions", domain)
		requireName(doc, "places.regions", region)
	}
	requireNotNegative(doc, "places.evacuation_bound", p.EvacuationBound)
}

func validateCold(doc *tomlfile.Document, c *Cold) {
	if c.Over < 0 || c.Slack < 0 {
		doc.Add("cold", "over and slack must not be negative")
	}
}

func validatePolicy(doc *tomlfile.Document, p *Policy) {
	if p.Scheduling != "" && p.Scheduling != "fair" && p.Scheduling != "fifo" {
		doc.Add("policy.scheduling", "must be fair or fifo")
	}
	if p.Reads != "" && p.Reads != "replicas" && p.Reads != "primary-only" {
		doc.Add("policy.reads", "must be replicas or primary-only")
	}
	if p.Split < 0 {
		doc.Add("policy.split", "must not be negative")
	}
}
