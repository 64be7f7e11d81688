package pgfront

import (
	"crypto/subtle"
	"crypto/tls"
	"encoding/binary"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"crocusyoke/internal/filter/auth"
	"crocusyoke/internal/request"
)

// Codes that stand in place of a protocol version in a startup message.
const (
	codeSSL    = 80877103
	codeGSS    = 80877104
	codeCancel = 80877102
	// majorVersion is the protocol's major version; minor versions are negotiated down.
	majorVersion = 3
)

// start does TLS, startup and the check of the key. It reports false if the connection
// has ended.
func (c *conn) start() bool {
	c.socket.SetDeadline(time.Now().Add(c.options.HandshakeTimeout))
	body, ok := c.negotiate()
	if !ok {
		return false
	}
	parameters, ok := c.parameters(body)
	if !ok {
		return false
	}
	if err := c.admit(parameters); err != nil {
		c.refuseStart(err)
		return false
	}
	c.socket.SetDeadline(time.Time{})
	return c.welcome(parameters)
}

// negotiate answers requests for encryption until the startup message arrives.
func (c *conn) negotiate() ([]byte, bool) {
	for range 3 {
		body, err := c.frames.startup()
		if err != nil {
			c.badStart(err)
			return nil, false
		}
		switch binary.BigEndian.Uint32(body) {
		case codeSSL:
			if !c.upgrade() {
				return nil, false
			}
		case codeGSS:
			if !c.write([]byte{'N'}) {
				return nil, false
			}
		case codeCancel:
			c.cancelRequest(body)
			return nil, false
		default:
			return body, true
		}
	}
	c.badStart(errProtocol.New("too many requests for encryption"))
	return nil, false
}

// upgrade starts TLS. What a caller sent before the handshake is refused, as nobody
// vouches for it.
func (c *conn) upgrade() bool {
	if c.options.TLS == nil || c.secure {
		return c.write([]byte{'N'})
	}
	if c.frames.in.Buffered() > 0 {
		c.badStart(errProtocol.New("data before the TLS handshake"))
		return false
	}
	if !c.write([]byte{'S'}) {
		return false
	}
	secured := tls.Server(c.socket, c.options.TLS)
	if err := secured.Handshake(); err != nil {
		c.server.HandshakeFailed.Add(1)
		return false
	}
	c.socket = secured
	c.frames = newFrames(secured)
	c.secure = true
	return true
}

func (c *conn) cancelRequest(body []byte) {
	var cancel pgproto3.CancelRequest
	if cancel.Decode(body) != nil || len(cancel.SecretKey) != 4 {
		c.server.BadProtocol.Add(1)
		return
	}
	secret := binary.BigEndian.Uint32(cancel.SecretKey)
	if c.server.Cancel(cancel.ProcessID, secret) {
		return
	}
	if c.options.ForwardCancel != nil {
		c.options.ForwardCancel(cancel.ProcessID, secret)
	}
}

// parameters reads the startup message and answers versions newer than 3.0.
func (c *conn) parameters(body []byte) (map[string]string, bool) {
	version := binary.BigEndian.Uint32(body)
	if version>>16 != majorVersion {
		c.badStart(errProtocol.New("protocol version %d.%d", version>>16, version&0xffff))
		return nil, false
	}
	binary.BigEndian.PutUint32(body, pgproto3.ProtocolVersion30)
	var message pgproto3.StartupMessage
	if err := message.Decode(body); err != nil {
		c.badStart(errProtocol.New("malformed startup message"))
		return nil, false
	}
	var options []string
	for name := range message.Parameters {
		if strings.HasPrefix(name, "_pq_.") {
			options = append(options, name)
			delete(message.Parameters, name)
		}
	}
	if version != pgproto3.ProtocolVersion30 || len(options) > 0 {
		c.write(encode(nil, &pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: options}))
	}
	return message.Parameters, true
}

// admit checks the caller and applies its parameters.
func (c *conn) admit(parameters map[string]string) error {
	if !c.secure && !c.options.Plaintext {
		return request.Refuse(request.CodeForbidden, step, "", "TLS is required")
	}
	if c.server.isDraining() {
		return shuttingDown()
	}
	if !c.server.reserve(c) {
		return request.Refuse(request.CodeOverloaded, step, "", "too many connections")
	}
	service := parameters["database"]
	if service == "" {
		service = parameters["user"]
	}
	id, err := c.login(parameters["user"], service)
	if err != nil {
		return err
	}
	c.identity = id
	c.service = service
	c.server.register(c)
	c.options.Auth.SetIdentity(c.session, id)
	return c.applyStartup(parameters)
}

// login asks for the key, checks it and forgets it.
func (c *conn) login(customer, service string) (auth.Identity, error) {
	if !c.write(encode(nil, &pgproto3.AuthenticationCleartextPassword{})) {
		return auth.Identity{}, errGone
	}
	raw, kind, err := c.frames.next(nil, maxStartup)
	if err != nil {
		return auth.Identity{}, err
	}
	defer clear(raw)
	var password pgproto3.PasswordMessage
	if kind != typePassword || password.Decode(raw[headerLength:]) != nil {
		return auth.Identity{}, errProtocol.New("expected a password message")
	}
	return c.options.Auth.Login(customer, password.Password, service)
}

// applyStartup sets session variables from startup parameters and their options.
func (c *conn) applyStartup(parameters map[string]string) error {
	if options := parameters["options"]; options != "" {
		if err := c.applyOptions(options); err != nil {
			return err
		}
	}
	for name, value := range parameters {
		switch name {
		case "user", "database", "options":
			continue
		}
		if err := c.setVariable(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

// applyOptions reads "-c name=value" and "--name=value"; a backslash keeps a blank.
func (c *conn) applyOptions(options string) error {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = strings.ReplaceAll(word[2:], "-", "_")
		default:
			return request.Refuse(request.CodeUnsupported, step, "", "startup option %q", word)
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok {
			return request.Refuse(request.CodeProtocol, step, "", "startup option %q has no value", name)
		}
		if err := c.setVariable(strings.ToLower(name), value); err != nil {
			return err
		}
	}
	return nil
}

func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	escaped := false
	for _, r := range options + " " {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped = false
		case r == '\\':
			escaped = true
		case r == ' ' || r == '\t' || r == '\n':
			if word.Len() > 0 {
				words = append(words, word.String())
			}
			word.Reset()
		default:
			word.WriteRune(r)
		}
	}
	return words
}

// welcome ends the startup.
func (c *conn) welcome(parameters map[string]string) bool {
	out := encode(nil, &pgproto3.AuthenticationOk{})
	for name, value := range map[string]string{
		"server_version":                "16.0 (crocusyoke)",
		"server_encoding":               "UTF8",
		"is_superuser":                  "off",
		"session_authorization":         parameters["user"],
		"integer_datetimes":             "on",
		"in_hot_standby":                "off",
		"default_transaction_read_only": "off",
		varAppName:                      c.variables.appName,
	} {
		out = status(out, name, value)
	}
	for _, variable := range fixed {
		if variable.reported != "" {
			out = status(out, variable.reported, variable.value)
		}
	}
	out = c.tokenStatus(out)
	secret := binary.BigEndian.AppendUint32(nil, c.secret)
	out = encode(out, &pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: secret})
	return c.write(ready(out, c.tx))
}

// badStart ends a connection that sent no proper startup.
func (c *conn) badStart(err error) {
	if errProtocol.Has(err) {
		c.refuseStart(err)
		return
	}
	c.server.HandshakeFailed.Add(1)
}

// refuseStart ends a connection that is not admitted.
func (c *conn) refuseStart(err error) {
	switch {
	case errProtocol.Has(err), errTooLarge.Has(err):
		c.server.BadProtocol.Add(1)
		c.fatal(request.Refuse(request.CodeProtocol, step, "", "%s", err))
	case isRefusal(err):
		c.fatal(request.AsRefusal(err))
	default:
		c.server.HandshakeFailed.Add(1)
	}
}

func sameSecret(a, b uint32) bool {
	return subtle.ConstantTimeEq(int32(a), int32(b)) == 1
}

func shuttingDown() *request.Refusal {
	return request.Refuse(request.CodeShutdown, step, "", "this node is shutting down")
}
