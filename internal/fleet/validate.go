package fleet

import (
	"encoding/hex"
	"fmt"
	"math"
	"net/netip"
	"regexp"
)

// Issue is an invalid value of a configuration.
type Issue struct {
	// Key is the full key of the value, such as "customer[0].rate".
	Key string
	// Text describes the problem.
	Text string
}

// Sizes of secrets before hex encoding.
const (
	// MinTokenSecretBytes is the minimum size of the token secret.
	MinTokenSecretBytes = 32
	// KeyHashBytes is the size of a key hash (SHA-256).
	KeyHashBytes = 32
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

// ValidName reports whether name is a valid name of a customer, profile, service, group,
// target, key, node or failure domain.
func ValidName(name string) bool { return namePattern.MatchString(name) }

// Validate returns all issues of config. If there are none, config may be put in force.
func Validate(config *Config) []Issue {
	v := &validator{config: config}
	v.checkTokenSecret()
	v.checkProfiles()
	v.checkCustomers()
	v.checkGroups()
	v.checkServices()
	v.checkEvacuatedDomains()
	return v.issues
}

type validator struct {
	config *Config
	issues []Issue
}

func (v *validator) addIssue(key, format string, args ...any) {
	v.issues = append(v.issues, Issue{Key: key, Text: fmt.Sprintf(format, args...)})
}

// require records an issue unless ok.
func (v *validator) require(ok bool, key, format string, args ...any) {
	if !ok {
		v.addIssue(key, format, args...)
	}
}

// checkName checks that name is valid and not yet in seen, and adds it to seen.
func (v *validator) checkName(key, name string, seen map[string]bool) {
	v.require(ValidName(name), key, "%q is not a valid name: use 1 to 63 letters, digits, dots, dashes and underscores, starting with a letter or digit", name)
	v.require(!seen[name], key, "%q is used twice", name)
	seen[name] = true
}

func (v *validator) checkTokenSecret() {
	secret, err := hex.DecodeString(v.config.TokenSecret)
	v.require(err == nil && len(secret) >= MinTokenSecretBytes, "token_secret",
		"must be at least %d bytes in hex", MinTokenSecretBytes)
}

func (v *validator) checkProfiles() {
	names := map[string]bool{}
	for i := range v.config.Profiles {
		v.checkProfile(fmt.Sprintf("profile[%d].", i), &v.config.Profiles[i], names)
	}
}

func (v *validator) checkProfile(prefix string, p *Profile, names map[string]bool) {
	v.checkName(prefix+"name", p.Name, names)
	switch p.Reads {
	case ReadsPrimary, ReadsSession:
		v.require(p.MaxAge >= 0, prefix+"max_age", "must not be negative")
	case ReadsAge:
		v.require(p.MaxAge > 0, prefix+"max_age", "must be above zero for reads %q", ReadsAge)
	default:
		v.addIssue(prefix+"reads", "%q is not one of %q, %q, %q", p.Reads, ReadsPrimary, ReadsSession, ReadsAge)
	}
	v.require(p.Confirm == ConfirmTerm || p.Confirm == ConfirmMajority, prefix+"confirm",
		"%q is not one of %q, %q", p.Confirm, ConfirmTerm, ConfirmMajority)
	v.require(p.Timeout > 0, prefix+"timeout", "must be above zero")
	v.require(p.ReplicaWait >= 0, prefix+"replica_wait", "must not be negative")
	v.require(p.ReplicaWait <= p.Timeout, prefix+"replica_wait", "is longer than the timeout")
	v.require(p.RetryBudget >= 0 && p.RetryBudget <= 1, prefix+"retry_budget", "must be from 0 to 1")
	v.require(p.Priority >= 0, prefix+"priority", "must not be negative")
	v.require(p.Objective >= 0, prefix+"objective", "must not be negative")
	v.require(p.Objective <= p.Timeout, prefix+"objective", "is longer than the timeout")
}

func (v *validator) checkCustomers() {
	names := map[string]bool{}
	hashes := map[string]bool{}
	for i := range v.config.Customers {
		prefix := fmt.Sprintf("customer[%d].", i)
		customer := &v.config.Customers[i]
		v.checkName(prefix+"name", customer.Name, names)
		v.require(isPositiveFinite(customer.Rate), prefix+"rate", "must be above zero")
		v.require(isPositiveFinite(customer.Burst) && customer.Burst >= 1, prefix+"burst", "must be at least 1")
		v.require(customer.Weight >= 1, prefix+"weight", "must be at least 1")
		v.require(customer.Priority >= 0, prefix+"priority", "must not be negative")
		v.checkRegions(prefix, customer.HomeRegions)
		v.checkKeys(prefix, customer.Keys, hashes)
	}
}

// checkRegions checks the names of home regions.
func (v *validator) checkRegions(prefix string, regions []string) {
	for i, region := range regions {
		v.require(ValidName(region), fmt.Sprintf("%shome_regions[%d]", prefix, i), "%q is not a valid name", region)
	}
}

func isPositiveFinite(x float64) bool { return x > 0 && !math.IsInf(x, 0) }

// checkKeys checks the keys of one customer. The text of an issue never contains a hash.
func (v *validator) checkKeys(prefix string, keys []Key, hashes map[string]bool) {
	ids := map[string]bool{}
	for i, key := range keys {
		keyPrefix := fmt.Sprintf("%skey[%d].", prefix, i)
		v.checkName(keyPrefix+"id", key.ID, ids)
		hash, err := hex.DecodeString(key.Hash)
		v.require(err == nil && len(hash) == KeyHashBytes, keyPrefix+"hash", "must be a SHA-256 in hex")
		v.require(!hashes[string(hash)] || err != nil, keyPrefix+"hash", "is the hash of another key")
		hashes[string(hash)] = true
	}
}

func (v *validator) checkGroups() {
	names := map[string]bool{}
	targets := map[string]bool{}
	addresses := map[string]bool{}
	for i := range v.config.Groups {
		groupKey := fmt.Sprintf("group[%d]", i)
		group := &v.config.Groups[i]
		v.checkName(groupKey+".name", group.Name, names)
		v.require(group.ColdStart >= 0, groupKey+".cold_start", "must not be negative")
		v.require(group.ColdRate >= 0 && !math.IsInf(group.ColdRate, 0), groupKey+".cold_rate", "must not be negative")
		remaining := 0
		for j := range group.Targets {
			target := &group.Targets[j]
			v.checkTarget(fmt.Sprintf("%s.target[%d].", groupKey, j), target, targets, addresses)
			if !target.Leaving {
				remaining++
			}
		}
		v.require(remaining > 0, groupKey+".target", "group %q needs a target that is not leaving", group.Name)
	}
}

func (v *validator) checkTarget(prefix string, t *Target, names, addresses map[string]bool) {
	v.checkName(prefix+"name", t.Name, names)
	_, err := netip.ParseAddrPort(t.Address)
	v.require(err == nil, prefix+"address", "%q is not IP:port", t.Address)
	v.require(!addresses[t.Address], prefix+"address", "%q is used twice", t.Address)
	addresses[t.Address] = true
	v.require(ValidName(t.Domain), prefix+"domain", "%q is not a valid name", t.Domain)
	v.require(t.Slots >= 1, prefix+"slots", "must be at least 1")
	v.require(t.Connections >= t.Slots, prefix+"connections", "must be at least the number of slots")
}

func (v *validator) checkServices() {
	names := map[string]bool{}
	for i := range v.config.Services {
		prefix := fmt.Sprintf("service[%d].", i)
		service := &v.config.Services[i]
		v.checkName(prefix+"name", service.Name, names)
		v.require(v.config.Group(service.Group) != nil, prefix+"group", "there is no group %q", service.Group)
		v.checkRegions(prefix, service.HomeRegions)
		v.require(v.config.Profile(service.Profile) != nil, prefix+"profile", "there is no profile %q", service.Profile)
		v.require(service.Open || len(service.Customers) > 0, prefix+"customers", "names no customer, and the service is not open")
		for j, name := range service.Customers {
			v.require(v.config.Customer(name) != nil, fmt.Sprintf("%scustomers[%d]", prefix, j), "there is no customer %q", name)
		}
	}
}
