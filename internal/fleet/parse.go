package fleet

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"github.com/pelletier/go-toml/v2"

	"crocusyoke/internal/tomlfile"
)

// Default values of fields that the file omits.
const (
	DefaultReads       = ReadsSession
	DefaultConfirm     = ConfirmMajority
	DefaultReplicaWait = Duration(20 * time.Millisecond)
	DefaultRetryBudget = 0.1
	DefaultTimeout     = Duration(5 * time.Second)
	DefaultWeight      = 1
)

// Parse decodes a complete configuration from TOML, applies defaults and validates it. An
// error is of type tomlfile.Issues and lists every issue found, with file, line and key.
func Parse(body []byte, file string) (*Config, error) {
	return ParseDraft(body, file, nil)
}

// ParseDraft is like Parse, for a file that an operator wrote and that may lack secrets. If
// complete is not nil, it is called before validation to fill in what is missing.
func ParseDraft(body []byte, file string, complete func(*Config)) (*Config, error) {
	config := &Config{}
	doc := tomlfile.Decode(body, file, config)
	if err := doc.Err(); err != nil && !hasOnlyUnknownKeys(err) {
		return nil, err
	}
	applyDefaults(config, doc.Has)
	slices.Sort(config.EvacuatedDomains)
	config.MarkEvacuated()
	if complete != nil {
		complete(config)
	}
	for _, issue := range Validate(config) {
		doc.Add(issue.Key, "%s", issue.Text)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return config, nil
}

// hasOnlyUnknownKeys reports whether all issues of err are unknown keys. The rest of the
// file was then decoded and can be validated too.
func hasOnlyUnknownKeys(err error) bool {
	for _, issue := range err.(tomlfile.Issues) {
		if issue.Text != tomlfile.UnknownKey {
			return false
		}
	}
	return true
}

// Encode encodes config as TOML. Defaults are written out, so that a release with other
// defaults reads the same configuration.
func Encode(config *Config) ([]byte, error) {
	var out bytes.Buffer
	err := toml.NewEncoder(&out).Encode(config)
	return out.Bytes(), err
}

// Clone returns a deep copy, which may be modified while c is published.
func (c *Config) Clone() (*Config, error) {
	body, err := Encode(c)
	if err != nil {
		return nil, err
	}
	clone := &Config{Version: c.Version}
	err = toml.Unmarshal(body, clone)
	return clone, err
}

// DefaultProfile returns a profile with the given name and default values.
func DefaultProfile(name string) Profile {
	p := Profile{Name: name}
	applyProfileDefaults(&p, func(string) bool { return false })
	return p
}

func applyDefaults(config *Config, has func(key string) bool) {
	for i := range config.Profiles {
		applyProfileDefaults(&config.Profiles[i], func(field string) bool {
			return has(fmt.Sprintf("profile[%d].%s", i, field))
		})
	}
	for i := range config.Customers {
		if !has(fmt.Sprintf("customer[%d].weight", i)) {
			config.Customers[i].Weight = DefaultWeight
		}
	}
}

func applyProfileDefaults(p *Profile, has func(field string) bool) {
	if !has("reads") {
		p.Reads = DefaultReads
	}
	if !has("confirm") {
		p.Confirm = DefaultConfirm
	}
	if !has("replica_wait") {
		p.ReplicaWait = DefaultReplicaWait
	}
	if !has("retry_budget") {
		p.RetryBudget = DefaultRetryBudget
	}
	if !has("timeout") {
		p.Timeout = DefaultTimeout
	}
}
