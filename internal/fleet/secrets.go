package fleet

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the hex SHA-256 of a customer's key, as stored in Key.Hash.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// NewKey returns a random key with at least 256 bits of entropy.
func NewKey() string { return rand.Text() + rand.Text() }

// NewTokenSecret returns a random token secret of MinTokenSecretBytes, in hex.
func NewTokenSecret() string {
	secret := make([]byte, MinTokenSecretBytes)
	_, _ = rand.Read(secret) // crypto/rand.Read never fails.
	return hex.EncodeToString(secret)
}

// Redact removes the token secret and the key hashes, so that c can be shown to an operator.
// It modifies c.
func (c *Config) Redact() {
	c.TokenSecret = ""
	for i := range c.Customers {
		keys := c.Customers[i].Keys
		for j := range keys {
			keys[j].Hash = ""
		}
	}
}

// RestoreSecrets reverses Redact: it copies the token secret and the key hashes that c lacks
// from current, which may be nil. If neither has a token secret, a new one is generated.
// Hashes that current does not have stay empty.
func (c *Config) RestoreSecrets(current *Config) {
	if current == nil {
		current = &Config{}
	}
	if c.TokenSecret == "" {
		c.TokenSecret = current.TokenSecret
	}
	if c.TokenSecret == "" {
		c.TokenSecret = NewTokenSecret()
	}
	for i := range c.Customers {
		currentCustomer := current.Customer(c.Customers[i].Name)
		if currentCustomer != nil {
			c.Customers[i].fillHashes(currentCustomer)
		}
	}
}

func (c *Customer) fillHashes(current *Customer) {
	for i := range c.Keys {
		key := &c.Keys[i]
		currentKey := current.Key(key.ID)
		if key.Hash == "" && currentKey != nil {
			key.Hash = currentKey.Hash
		}
	}
}

// Key returns the customer's key with the given ID, or nil.
func (c *Customer) Key(id string) *Key {
	return find(c.Keys, func(k *Key) bool { return k.ID == id })
}
