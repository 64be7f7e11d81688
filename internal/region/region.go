// Package region decides which failure domains a request may be sent to.
//
// Invariant: a request is allowed in a failure domain only if the domain's region is a home of its service,
// if that has homes, and a home of its customer, if that has homes. A failure domain whose region is not known
// is in no home. The package does no I/O and reads no clock.
package region

import (
	"slices"
	"strings"
)

// separator stands in front of each name in a Set.
const separator = "\x00"

// Set is a set of home regions. The zero value, Any, is that of a request without homes. Sets are comparable, and
// equal if they allow the same.
type Set string

// Any allows every region, and None no region.
const (
	Any  Set = ""
	None Set = separator
)

// NewSet returns the set of the listed regions, or Any if none is listed. A name that no region can have is left
// out.
func NewSet(names []string) Set {
	if len(names) == 0 {
		return Any
	}
	set := None
	for _, name := range names {
		set = set.with(name)
	}
	return set
}

// Homes returns the regions in which a request may be served, given the homes of its service and of its customer:
// both bind. It is None if they have no region in common.
func Homes(service, customer []string) Set {
	return NewSet(service).And(NewSet(customer))
}

// Common returns a list for which NewSet returns the regions that both lists allow.
func Common(a, b []string) []string {
	switch {
	case len(a) == 0:
		return b
	case len(b) == 0:
		return a
	}
	common := []string{""}
	for _, name := range a {
		if slices.Contains(b, name) {
			common = append(common, name)
		}
	}
	return common
}

// And returns the regions that both sets allow.
func (s Set) And(other Set) Set {
	switch {
	case s == Any:
		return other
	case other == Any:
		return s
	}
	both := None
	for name := range strings.SplitSeq(string(s), separator) {
		if other.has(name) {
			both = both.with(name)
		}
	}
	return both
}

// with returns s, which is not Any, with name. The names are in order, so that equal sets are the same text.
func (s Set) with(name string) Set {
	if name == "" || strings.Contains(name, separator) || s.has(name) {
		return s
	}
	var sorted strings.Builder
	placed := false
	for present := range strings.SplitSeq(string(s), separator) {
		if present == "" {
			continue
		}
		if !placed && name < present {
			sorted.WriteString(separator + name)
			placed = true
		}
		sorted.WriteString(separator + present)
	}
	if !placed {
		sorted.WriteString(separator + name)
	}
	return Set(sorted.String())
}

// has reports whether s, which is not Any, names the region.
func (s Set) has(name string) bool {
	return name != "" && strings.Contains(string(s)+separator, separator+name+separator)
}

// String returns the names of the regions, separated by commas, "any" or "none".
func (s Set) String() string {
	switch s {
	case Any:
		return "any"
	case None:
		return "none"
	}
	return strings.ReplaceAll(string(s[len(separator):]), separator, ",")
}

// Map holds the region of each failure domain. Without entries, all failure domains are in one region, which is
// every home.
type Map map[string]string

// Allows reports whether a request with the given homes may be sent to the failure domain.
func (m Map) Allows(homes Set, domain string) bool {
	if homes == Any {
		return true
	}
	if len(m) == 0 {
		return homes != None
	}
	return homes.has(m[domain])
}

// IsDivided reports whether there is more than one region.
func (m Map) IsDivided() bool {
	first, found := "", false
	for _, name := range m {
		if found && name != first {
			return true
		}
		first, found = name, true
	}
	return false
}

// Of returns the set of the regions of the listed failure domains, None if none of them is in a known region.
func (m Map) Of(domains []string) Set {
	set := None
	for _, domain := range domains {
		set = set.with(m[domain])
	}
	return set
}
