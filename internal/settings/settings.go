// Package settings defines the settings that a node reads from a TOML file once, at its
// start. The configuration that operators can change without a restart is in package fleet.
package settings

import "crocusyoke/internal/fleet"

// Settings are the settings of one node.
type Settings struct {
	Node     Node     `toml:"node"`
	Callers  Callers  `toml:"callers"`
	Peers    Peers    `toml:"peers"`
	Platform Platform `toml:"platform"`
	Targets  Targets  `toml:"targets"`
	Ops      Ops      `toml:"ops"`
	Delay    Delay    `toml:"delay"`
	Policy   Policy   `toml:"policy"`
	Places   Places   `toml:"places"`
	Cold     Cold     `toml:"cold"`
}

// Node identifies the node.
type Node struct {
	// Name is the name of the VM on the platform's list.
	Name string `toml:"name"`
	// Domain is the failure domain of the VM.
	Domain string `toml:"domain"`
	// Deployment is the name of the deployment, which is a fleet of nodes with one
	// configuration. The name is part of the keys of the deployment's rows in the platform's
	// table.
	Deployment string `toml:"deployment"`
	// Drain is the time limit of a graceful stop.
	Drain fleet.Duration `toml:"drain"`
	// Capacity is the VM's processor, in thousandths of a core; 0 if all VMs are equal. Larger VMs
	// own the groups.
	Capacity int `toml:"capacity"`
	// Memory is the memory in bytes that the process may take for its heap; 0 leaves it to the Go runtime's
	// variable GOMEMLIMIT.
	Memory int `toml:"memory"`
}

// Callers configures the endpoint that callers connect to.
type Callers struct {
	// Address is IP:port.
	Address     string `toml:"address"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Plaintext lets callers connect without TLS.
	Plaintext bool `toml:"plaintext"`
	// MaxConnections is the maximum number of callers' connections to this node.
	MaxConnections int `toml:"max_connections"`
	// MaxMessage is the maximum size of a caller's message in bytes.
	MaxMessage int `toml:"max_message"`
	// CustomerShare is the part of the connections that other customers leave that one customer may have.
	CustomerShare float64 `toml:"customer_share"`
	// StartupTimeout bounds the time until a caller has logged in, StatementTimeout the time in which a statement
	// has to arrive, and WriteTimeout the time in which a caller has to take an answer.
	StartupTimeout   fleet.Duration `toml:"startup_timeout"`
	StatementTimeout fleet.Duration `toml:"statement_timeout"`
	WriteTimeout     fleet.Duration `toml:"write_timeout"`
}

// Peers configures the endpoint that other nodes connect to.
type Peers struct {
	// Address is the UDP address, as IP:port.
	Address     string `toml:"address"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// Platform configures the access to the platform's services.
type Platform struct {
	// URL is http://IP:port or https://IP:port.
	URL string `toml:"url"`
}

// Targets has the credentials with which nodes log in to targets.
type Targets struct {
	User     string `toml:"user"`
	Password string `toml:"password"`
}

// Ops configures the HTTP endpoint for operators, which serves /debug/vars.
type Ops struct {
	// Address is IP:port.
	Address string `toml:"address"`
	// Profiling enables /debug/pprof/ on this endpoint.
	Profiling bool `toml:"profiling"`
}

// Delay adds artificial latency, for tests of several failure domains on one machine.
type Delay struct {
	// Domains is the added one-way delay between two failure domains.
	Domains fleet.Duration `toml:"domains"`
	// Callers is the added one-way delay between callers and nodes.
	Callers fleet.Duration `toml:"callers"`
}

// Places tells where failure domains are.
type Places struct {
	// Regions holds the region of each failure domain, by the domain's name. Without it all of them are in one.
	Regions map[string]string `toml:"regions"`
	// EvacuationBound is how long after an evacuation was accepted requests may still reach the failure
	// domain; 0 for the default.
	EvacuationBound fleet.Duration `toml:"evacuation_bound"`
}

// Cold bounds what targets get that have just started. Both are 0 if such targets are treated as all others.
type Cold struct {
	// Over is the factor of a group's cold rate, and Slack the number of requests beyond it, that a cold target
	// may get in any second.
	Over  float64 `toml:"over"`
	Slack float64 `toml:"slack"`
}

// Policy replaces default algorithms by simpler baselines, for comparison in experiments.
type Policy struct {
	// Scheduling is "fair" (default) or "fifo".
	Scheduling string `toml:"scheduling"`
	// Reads is "replicas" (default) or "primary-only".
	Reads string `toml:"reads"`
	// Priorities orders requests by the priorities of profiles and customers wherever they wait or are refused.
	Priorities bool `toml:"priorities"`
	// NearbyReads serves reads from the replicas in the failure domain of the node that the caller is connected
	// to, where that has any.
	NearbyReads bool `toml:"nearby_reads"`
	// EvenLoad spreads reads evenly over the replicas that several nodes use.
	EvenLoad bool `toml:"even_load"`
	// Split, if not 0, is the number of nodes that each use every target with an equal part
	// of its slots and connections. With 0 (default), one owner per group uses its targets.
	Split int `toml:"split"`
}
