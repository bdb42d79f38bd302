package bundle

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/types/known/durationpb"

	"pumiceshelf/api"
	"pumiceshelf/objectstore"
)

// Change is one difference between two bundles.
type Change struct {
	// Path of the field.
	Path string `json:"path"`
	// Old and New are the values in readable form, empty if absent.
	Old string `json:"old,omitempty"`
	New string `json:"new,omitempty"`
}

// String returns the change as one line.
func (c Change) String() string {
	switch {
	case c.Old == "":
		return fmt.Sprintf("+ %s = %s", c.Path, c.New)
	case c.New == "":
		return fmt.Sprintf("- %s = %s", c.Path, c.Old)
	default:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	}
}

// Diff returns the changes from one bundle to another. Lists of items with IDs are compared by ID.
func Diff(old, next *api.Bundle) []Change {
	d := &differ{}
	d.diffMessage("", old.ProtoReflect(), next.ProtoReflect())
	return d.changes
}

// ChangesBetween reads the pages in which two manifests differ and returns the changes; old is nil before the first
// bundle. The given parts are not read from the object store.
func ChangesBetween(ctx context.Context, store objectstore.Store, old, next *api.Manifest, parts [][]byte) ([]Change, error) {
	from, to, err := LoadChangedPages(ctx, store, old, next, parts)
	if err != nil {
		return nil, err
	}
	return Diff(from, to), nil
}

// LoadChangedPages returns both bundles reduced to the pages in which their manifests differ; see ChangesBetween.
func LoadChangedPages(ctx context.Context, store objectstore.Store, old, next *api.Manifest, parts [][]byte) (from, to *api.Bundle, err error) {
	return loadChangedPages(ctx, localFetcher{parts: indexByHash(parts), fallback: storeFetcher{store: store, parallel: maxParallelCalls}}, old, next)
}

func loadChangedPages(ctx context.Context, f fetcher, old, next *api.Manifest) (from, to *api.Bundle, err error) {
	from = &api.Bundle{}
	if old != nil {
		if from, err = loadBundle(ctx, withoutSharedPages(old, next), f); err != nil {
			return nil, nil, err
		}
	}
	to, err = loadBundle(ctx, withoutSharedPages(next, old), f)
	return from, to, err
}

// ReadBundle reads a whole bundle from the object store.
func ReadBundle(ctx context.Context, store objectstore.Store, m *api.Manifest) (*api.Bundle, error) {
	return loadBundle(ctx, m, storeFetcher{store: store, parallel: maxParallelCalls})
}

func loadBundle(ctx context.Context, m *api.Manifest, f fetcher) (*api.Bundle, error) {
	c, err := load(ctx, m, nil, f)
	if err != nil {
		return nil, err
	}
	return c.bundle()
}

// withoutSharedPages returns the manifest without the pages that the other one also references.
func withoutSharedPages(m, other *api.Manifest) *api.Manifest {
	return &api.Manifest{
		Number:             m.Number,
		Operators:          m.Operators,
		Threshold:          m.Threshold,
		FleetHash:          m.FleetHash,
		EndpointPageHashes: hashesNotIn(m.EndpointPageHashes, other.GetEndpointPageHashes()),
		CustomerPageHashes: hashesNotIn(m.CustomerPageHashes, other.GetCustomerPageHashes()),
	}
}

func hashesNotIn(list, other [][]byte) [][]byte {
	seen := make(map[string]bool, len(other))
	for _, h := range other {
		seen[string(h)] = true
	}
	return slices.DeleteFunc(slices.Clone(list), func(h []byte) bool { return seen[string(h)] })
}

type differ struct{ changes []Change }

func (d *differ) addChange(path, old, next string) {
	if old != next {
		d.changes = append(d.changes, Change{Path: path, Old: old, New: next})
	}
}

func (d *differ) diffMessage(path string, old, next protoreflect.Message) {
	fields := next.Descriptor().Fields()
	for i := range fields.Len() {
		f := fields.Get(i)
		name := f.JSONName()
		if path != "" {
			name = path + "." + name
		}
		switch {
		case f.IsList() && f.Message() != nil:
			d.diffKeyedList(name, f, old.Get(f).List(), next.Get(f).List())
		case f.IsList():
			d.diffSet(name, f, old.Get(f).List(), next.Get(f).List())
		default:
			d.addChange(name, fieldText(f, old), fieldText(f, next))
		}
	}
}

// diffKeyedList compares lists of messages with IDs.
func (d *differ) diffKeyedList(path string, f protoreflect.FieldDescriptor, old, next protoreflect.List) {
	id := f.Message().Fields().ByName("id")
	oldByID := make(map[string]protoreflect.Message)
	for i := range old.Len() {
		m := old.Get(i).Message()
		oldByID[m.Get(id).String()] = m
	}
	for i := range next.Len() {
		m := next.Get(i).Message()
		key := m.Get(id).String()
		itemPath := path + "[" + key + "]"
		if before, ok := oldByID[key]; ok {
			d.diffMessage(itemPath, before, m)
			delete(oldByID, key)
		} else {
			d.addChange(itemPath, "", messageText(m))
		}
	}
	for i := range old.Len() {
		m := old.Get(i).Message()
		key := m.Get(id).String()
		if _, removed := oldByID[key]; removed {
			d.addChange(path+"["+key+"]", messageText(m), "")
		}
	}
}

// diffSet compares lists of plain values without regard to order.
func (d *differ) diffSet(path string, f protoreflect.FieldDescriptor, old, next protoreflect.List) {
	oldTexts := listTexts(f, old)
	newTexts := listTexts(f, next)
	for _, text := range newTexts {
		if !slices.Contains(oldTexts, text) {
			d.addChange(path, "", text)
		}
	}
	for _, text := range oldTexts {
		if !slices.Contains(newTexts, text) {
			d.addChange(path, text, "")
		}
	}
}

func listTexts(f protoreflect.FieldDescriptor, list protoreflect.List) []string {
	out := make([]string, list.Len())
	for i := range out {
		out[i] = valueText(f, list.Get(i))
	}
	return out
}

func fieldText(f protoreflect.FieldDescriptor, m protoreflect.Message) string {
	if !m.Has(f) && f.Message() != nil {
		return ""
	}
	return valueText(f, m.Get(f))
}

func valueText(f protoreflect.FieldDescriptor, v protoreflect.Value) string {
	if f.Message() != nil {
		if d, ok := v.Message().Interface().(*durationpb.Duration); ok {
			return d.AsDuration().String()
		}
		return messageText(v.Message())
	}
	if f.Kind() == protoreflect.BytesKind {
		return hex.EncodeToString(v.Bytes())
	}
	if f.Kind() == protoreflect.StringKind {
		return fmt.Sprintf("%q", v.String())
	}
	return v.String()
}

// messageText returns a message as compact JSON. The spaces in the output of protojson are not stable, so they are
// removed.
func messageText(m protoreflect.Message) string {
	text, err := protojson.Marshal(m.Interface())
	if err != nil {
		return err.Error()
	}
	var out bytes.Buffer
	if err := json.Compact(&out, text); err != nil {
		return err.Error()
	}
	return out.String()
}
