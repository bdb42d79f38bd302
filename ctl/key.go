package ctl

import (
	"crypto/ed25519"
	"crypto/rand"
	"crypto/x509"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"os"

	"pumiceshelf/bundle"
)

const (
	// pemBlockType is the type of the PEM block that holds an operator's private key.
	pemBlockType = "PRIVATE KEY"
	// keyFileMode allows only the owner to read a key file.
	keyFileMode = 0o600
	// tokenBytes is the number of random bytes in a customer's bearer token.
	tokenBytes = 32
)

func (a *app) keyCommands() []command {
	return []command{
		{"new", "Make an operator's key pair", keyNewHelp, &keyNewCommand{app: a}},
		{"customer", "Make a customer's bearer token", keyCustomerHelp, &keyCustomerCommand{app: a}},
	}
}

const keyNewHelp = `Make an operator's ed25519 key pair. The private key goes to a new file that only its owner may read; the entry for "operators" of a bundle or "firstOperators" of the settings is printed.

Example:
  pumicectl key new --id ana --out ana.key`

type keyNewCommand struct {
	app *app
	ID  string `long:"id" required:"yes" description:"id of the operator"`
	Out string `long:"out" required:"yes" value-name:"FILE" description:"file for the private key; it must not exist"`
}

// operatorEntry is the entry for an operator in a bundle or in the settings.
type operatorEntry struct {
	ID        string `json:"id"`
	PublicKey []byte `json:"publicKey"`
}

// Execute implements flags.Commander.
func (c *keyNewCommand) Execute([]string) error {
	publicKey, privateKey, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return fmt.Errorf("ctl: generate operator key: %w", err)
	}
	if err := writeKey(c.Out, privateKey); err != nil {
		return err
	}
	return c.app.printJSON(operatorEntry{ID: c.ID, PublicKey: publicKey})
}

func writeKey(file string, key ed25519.PrivateKey) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("ctl: encode private key: %w", err)
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, keyFileMode)
	if err != nil {
		return fmt.Errorf("ctl: create key file: %w", err)
	}
	err = pem.Encode(f, &pem.Block{Type: pemBlockType, Bytes: der})
	return errors.Join(err, f.Close())
}

func readKey(file string) (ed25519.PrivateKey, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("ctl: read key file: %w", err)
	}
	block, _ := pem.Decode(text)
	if block == nil || block.Type != pemBlockType {
		return nil, fmt.Errorf("ctl: %s is not a PEM file with a PKCS #8 private key", file)
	}
	key, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("ctl: parse private key in %s: %w", file, err)
	}
	privateKey, ok := key.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("ctl: private key in %s is not an ed25519 key", file)
	}
	return privateKey, nil
}

const keyCustomerHelp = `Make a customer's bearer token and the hash that goes into "keyHashes" of a bundle. The token is shown this once and kept nowhere.

Example:
  pumicectl key customer`

type keyCustomerCommand struct{ app *app }

// tokenView is the JSON output for a bearer token.
type tokenView struct {
	Token   string `json:"token"`
	KeyHash []byte `json:"keyHash"`
}

// Execute implements flags.Commander.
func (c *keyCustomerCommand) Execute([]string) error {
	secret := make([]byte, tokenBytes)
	if _, err := rand.Read(secret); err != nil {
		return fmt.Errorf("ctl: generate bearer token: %w", err)
	}
	token := base64.RawURLEncoding.EncodeToString(secret)
	hash := bundle.HashKey(token)
	return c.app.printJSON(tokenView{Token: token, KeyHash: hash[:]})
}
