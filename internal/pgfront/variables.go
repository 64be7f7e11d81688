package pgfront

import (
	"strconv"
	"strings"
	"time"

	"crocusyoke/internal/fleet"
	"crocusyoke/internal/request"
)

// Names of the session variables that the proxy interprets or stores.
const (
	varProfile   = "crocusyoke.profile"
	varSession   = "crocusyoke.session"
	varRequestID = "crocusyoke.request_id"
	varMaxAge    = "crocusyoke.max_age"
	varTimeout   = "statement_timeout"
	varAppName   = "application_name"
)

// Limits of values, in bytes. A longer request ID is refused, and a longer application name
// is truncated, as PostgreSQL does.
const (
	maxRequestID = 200
	maxAppName   = 63
)

// fixedVariables are the session variables with a constant value. Setting one has no
// effect, and is refused unless the new value, in lower case and without spaces and double
// quotes, is one of accepted. reported is the name in the ParameterStatus at startup, or empty
// if there is none.
var fixedVariables = map[string]struct {
	reported string
	value    string
	accepted []string
}{
	"client_encoding":             {"client_encoding", "UTF8", []string{"utf8", "utf-8", "unicode"}},
	"datestyle":                   {"DateStyle", "ISO, MDY", []string{"iso", "iso,mdy"}},
	"intervalstyle":               {"IntervalStyle", "postgres", []string{"postgres"}},
	"timezone":                    {"TimeZone", "UTC", []string{"utc", "gmt", "etc/utc"}},
	"standard_conforming_strings": {"standard_conforming_strings", "on", []string{"on", "true", "1"}},
	"search_path":                 {"", "public", []string{"public", "$user,public"}},
	"extra_float_digits":          {"", "1", []string{"0", "1", "2", "3"}},
	"bytea_output":                {"", "hex", []string{"hex"}},
}

// variables are the values of one session's variables, without varSession and the fixed ones.
type variables struct {
	profile   string
	requestID string
	maxAge    fleet.Duration
	hasMaxAge bool
	timeout   time.Duration
	appName   string
}

// isSupportedVariable reports whether the proxy itself handles the session variable.
func isSupportedVariable(name string) bool {
	switch name {
	case varProfile, varSession, varRequestID, varMaxAge, varTimeout, varAppName:
		return true
	}
	_, ok := fixedVariables[name]
	return ok
}

// set sets a variable other than varSession. An empty value resets it to its default. It
// fails with a refusal.
func (v *variables) set(cfg *fleet.Config, name, value string) error {
	switch name {
	case varProfile:
		if value != "" && (cfg == nil || cfg.Profile(value) == nil) {
			return request.Refuse(request.CodeUnknownProfile, step, "", "profile %q is not known", value)
		}
		v.profile = value
	case varRequestID:
		if len(value) > maxRequestID {
			return invalidValue(name, value)
		}
		v.requestID = value
	case varMaxAge:
		return v.setMaxAge(value)
	case varTimeout:
		return v.setTimeout(value)
	case varAppName:
		v.appName = strings.Clone(value[:min(len(value), maxAppName)])
	default:
		return checkFixed(name, value)
	}
	return nil
}

func (v *variables) setMaxAge(value string) error {
	if value == "" {
		v.maxAge, v.hasMaxAge = 0, false
		return nil
	}
	age, err := time.ParseDuration(value)
	if err != nil || age < 0 {
		return invalidValue(varMaxAge, value)
	}
	v.maxAge, v.hasMaxAge = fleet.Duration(age), true
	return nil
}

// setTimeout accepts PostgreSQL's forms: a number of milliseconds, or a number with a unit.
func (v *variables) setTimeout(value string) error {
	if value == "" {
		v.timeout = 0
		return nil
	}
	text := strings.ReplaceAll(strings.ReplaceAll(value, " ", ""), "min", "m")
	if ms, err := strconv.Atoi(text); err == nil {
		text = strconv.Itoa(ms) + "ms"
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout < 0 {
		return invalidValue(varTimeout, value)
	}
	v.timeout = timeout
	return nil
}

// checkFixed returns a refusal unless value is accepted for the fixed variable name. An empty
// value and "default" always are.
func checkFixed(name, value string) error {
	want, ok := fixedVariables[name]
	if !ok {
		return request.Refuse(request.CodeUnsupported, step, "", "session variable %q is not supported on a pooled connection", name)
	}
	text := strings.ToLower(strings.ReplaceAll(strings.ReplaceAll(value, " ", ""), `"`, ""))
	if text == "" || text == "default" {
		return nil
	}
	for _, accepted := range want.accepted {
		if text == accepted {
			return nil
		}
	}
	return request.Refuse(request.CodeUnsupported, step, "", "%s cannot be set to %q, only to %q", name, value, want.value)
}

// show returns the value of a variable other than varSession. service may be nil.
func (v *variables) show(service *fleet.Service, name string) string {
	switch name {
	case varProfile:
		if v.profile == "" && service != nil {
			return service.Profile
		}
		return v.profile
	case varRequestID:
		return v.requestID
	case varMaxAge:
		if !v.hasMaxAge {
			return ""
		}
		return v.maxAge.Std().String()
	case varTimeout:
		return strconv.FormatInt(v.timeout.Milliseconds(), 10) + "ms"
	case varAppName:
		return v.appName
	}
	return fixedVariables[name].value
}

// resetAll resets every variable to its default.
func (v *variables) resetAll() { *v = variables{} }

func invalidValue(name, value string) error {
	return request.Refuse(request.CodeInvalidParameter, step, "", "invalid value for %s: %q", name, value)
}
