package cli

import (
	"fmt"
	"io"
	"time"

	"github.com/spf13/cobra"

	"crocusyoke/internal/fleet"
)

func (a *app) keyCommand() *cobra.Command {
	cmd := parentCommand("key", "Add, withdraw and list customers' keys")
	cmd.AddCommand(a.keyAddCommand(), a.keyWithdrawCommand(),
		a.listCommand("list", "List the keys by customer and name", func(c *fleet.Config) printable {
			return newKeyList(c)
		}))
	return cmd
}

func (a *app) keyAddCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "add CUSTOMER ID",
		Short: "Add a random key and print it; it cannot be shown again",
		Args:  exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			key := fleet.NewKey()
			return a.editConfigWithKey(cmd.Context(), wait, func(c *fleet.Config) error {
				return addKey(c, args[0], fleet.Key{ID: args[1], Hash: fleet.HashKey(key)})
			}, &createdKey{Customer: args[0], ID: args[1], Key: key})
		},
	}
	addWaitFlag(cmd, &wait)
	return cmd
}

func addKey(c *fleet.Config, name string, key fleet.Key) error {
	customer := c.Customer(name)
	if customer == nil {
		return fmt.Errorf("there is no customer %q", name)
	}
	if customer.Key(key.ID) != nil {
		return fmt.Errorf("customer %q has a key %q already", name, key.ID)
	}
	customer.Keys = append(customer.Keys, key)
	return nil
}

// createdKey is a new key in plain text. It is printed once; the configuration stores only
// its hash.
type createdKey struct {
	Customer string `json:"customer"`
	ID       string `json:"id"`
	Key      string `json:"key"`
}

func (a *app) keyWithdrawCommand() *cobra.Command {
	var wait time.Duration
	cmd := &cobra.Command{
		Use:   "withdraw CUSTOMER ID",
		Short: "Withdraw a key; connections that use it are closed",
		Args:  exactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			return a.editConfig(cmd.Context(), wait, func(c *fleet.Config) error {
				return withdrawKey(c, args[0], args[1])
			})
		},
	}
	addWaitFlag(cmd, &wait)
	return cmd
}

func withdrawKey(c *fleet.Config, name, id string) error {
	customer := c.Customer(name)
	if customer == nil {
		return fmt.Errorf("there is no customer %q", name)
	}
	if customer.Key(id) == nil {
		return fmt.Errorf("customer %q has no key %q", name, id)
	}
	var remaining []fleet.Key
	for _, key := range customer.Keys {
		if key.ID != id {
			remaining = append(remaining, key)
		}
	}
	customer.Keys = remaining
	return nil
}

type keyList struct {
	Keys []keyEntry `json:"keys"`
}

type keyEntry struct {
	Customer string `json:"customer"`
	ID       string `json:"id"`
}

func newKeyList(c *fleet.Config) keyList {
	list := keyList{Keys: []keyEntry{}}
	for _, customer := range c.Customers {
		for _, key := range customer.Keys {
			list.Keys = append(list.Keys, keyEntry{customer.Name, key.ID})
		}
	}
	return list
}

func (l keyList) writeTable(w io.Writer) {
	fmt.Fprintln(w, "CUSTOMER\tKEY")
	for _, k := range l.Keys {
		fmt.Fprintf(w, "%s\t%s\n", k.Customer, k.ID)
	}
}
