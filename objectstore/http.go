package objectstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"pumiceshelf/api"
)

// Paths of the object API.
const (
	objectsPath   = "/v1/objects"
	instancesPath = "/v1/instances"
)

// listLimitBytes bounds the answer to a List or Instances call.
const listLimitBytes = 64 << 20

// HTTPConfig configures an HTTP client of the object API.
type HTTPConfig struct {
	// URL is the base URL, with an IP address and port.
	URL string
	// Name of the instance, sent as the user agent so that the platform's operators can tell callers apart.
	Name string
	// Client carries the calls. Its transport decides dialling and TLS.
	Client *http.Client
	// CallTimeout bounds every call but a watch.
	CallTimeout time.Duration
	// WatchTimeout bounds a watch; it is longer than the platform's own limit.
	WatchTimeout time.Duration
}

// HTTP is the object API over HTTP. It implements Store and InstanceLister and is safe for concurrent use.
type HTTP struct {
	config HTTPConfig
}

// NewHTTP returns a client of the object API.
func NewHTTP(c HTTPConfig) *HTTP {
	c.URL = strings.TrimSuffix(c.URL, "/")
	return &HTTP{config: c}
}

// answer of the object API with its body read whole.
type answer struct {
	status  int
	version Version
	body    []byte
}

// objectList is the answer to a List call.
type objectList struct {
	Objects []listedObject `json:"objects"`
}

type listedObject struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Get implements Store.
func (h *HTTP) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	a, err := h.read(ctx, objectURL(key), ValueLimit)
	if err != nil {
		return Object{}, err
	}
	return a.object(key)
}

// Watch implements Store.
func (h *HTTP) Watch(ctx context.Context, key string, after Version) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.WatchTimeout)
	defer cancel()
	a, err := h.read(ctx, objectURL(key)+"?watch=1&after="+formatVersion(after), ValueLimit)
	if err != nil {
		return Object{}, err
	}
	if a.status == http.StatusNotModified {
		return Object{}, ErrUnchanged
	}
	return a.object(key)
}

// List implements Store.
func (h *HTTP) List(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	a, err := h.read(ctx, objectsPath+"?"+query.Encode(), listLimitBytes)
	if err != nil {
		return nil, err
	}
	var list objectList
	if err := json.Unmarshal(a.body, &list); err != nil {
		return nil, fmt.Errorf("%w: list: %v", ErrMalformed, err)
	}
	out := make([]Object, 0, len(list.Objects))
	for _, o := range list.Objects {
		out = append(out, Object(o))
	}
	return out, nil
}

// Instances implements InstanceLister.
func (h *HTTP) Instances(ctx context.Context) (*api.InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	a, err := h.read(ctx, instancesPath, listLimitBytes)
	if err != nil {
		return nil, err
	}
	list := &api.InstanceList{}
	unmarshal := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := unmarshal.Unmarshal(a.body, list); err != nil {
		return nil, fmt.Errorf("%w: instance list: %v", ErrMalformed, err)
	}
	return list, nil
}

// Put implements Store.
func (h *HTTP) Put(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	if len(value) > ValueLimit {
		return 0, ErrTooLarge
	}
	a, err := h.write(ctx, http.MethodPut, key, value, expected)
	if err != nil {
		return 0, err
	}
	if a.version == 0 {
		return 0, fmt.Errorf("%w: answer to a write carries no version", ErrAmbiguous)
	}
	return a.version, nil
}

// Delete implements Store.
func (h *HTTP) Delete(ctx context.Context, key string, expected Version) error {
	_, err := h.write(ctx, http.MethodDelete, key, nil, expected)
	return err
}

// read makes a call without effect. Its answer is one of 200 and 304.
func (h *HTTP) read(ctx context.Context, path string, limit int64) (answer, error) {
	a, err := h.call(ctx, http.MethodGet, path, nil, nil, limit)
	if err != nil {
		return answer{}, err
	}
	switch a.status {
	case http.StatusOK, http.StatusNotModified:
		return a, nil
	case http.StatusNotFound:
		return answer{}, ErrNotFound
	default:
		return answer{}, fmt.Errorf("%w: status %d", ErrUnavailable, a.status)
	}
}

// write makes a conditional update. Any failure after the request may have left is ErrAmbiguous.
func (h *HTTP) write(ctx context.Context, method, key string, value []byte, expected Version) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	header := http.Header{}
	if expected == 0 {
		header.Set("If-None-Match", "*")
	} else {
		header.Set("If-Match", quoteVersion(expected))
	}
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { sent.Store(true) }}
	a, err := h.call(httptrace.WithClientTrace(ctx, trace), method, objectURL(key), header, value, ValueLimit)
	if err != nil {
		if sent.Load() {
			return answer{}, fmt.Errorf("%w: %v", ErrAmbiguous, err)
		}
		return answer{}, err
	}
	return a, writeError(a.status)
}

// writeError maps the status of a write to an error. A status that a server in between may have made is ambiguous.
func writeError(status int) error {
	switch status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return ErrNotFound
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: the platform limits the rate", ErrUnavailable)
	default:
		return fmt.Errorf("%w: status %d", ErrAmbiguous, status)
	}
}

// call sends one request and reads the answer whole. Its errors wrap ErrUnavailable or ErrMalformed.
func (h *HTTP) call(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (answer, error) {
	req, err := http.NewRequestWithContext(ctx, method, h.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	req.Header.Set("User-Agent", h.config.Name)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := h.config.Client.Do(req)
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return answer{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if int64(len(value)) > limit {
		return answer{}, fmt.Errorf("%w: answer over %d bytes", ErrMalformed, limit)
	}
	version, err := parseVersion(resp.Header.Get("ETag"))
	if err != nil {
		return answer{}, err
	}
	return answer{status: resp.StatusCode, version: version, body: value}, nil
}

func (a answer) object(key string) (Object, error) {
	if a.version == 0 {
		return Object{}, fmt.Errorf("%w: object without a version", ErrMalformed)
	}
	return Object{Key: key, Version: a.version, Value: a.body}, nil
}

func objectURL(key string) string { return objectsPath + "/" + url.PathEscape(key) }

func formatVersion(v Version) string { return strconv.FormatUint(uint64(v), 10) }

func quoteVersion(v Version) string { return `"` + formatVersion(v) + `"` }

// parseVersion reads an entity tag; an absent one is version zero.
func parseVersion(tag string) (Version, error) {
	if tag == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(strings.Trim(tag, `"`), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: entity tag %q", ErrMalformed, tag)
	}
	return Version(v), nil
}

// IsOutage says whether an error means that the platform could not be asked, as opposed to its answer being no.
func IsOutage(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous) || errors.Is(err, ErrThrottled) || errors.Is(err, ErrMalformed)
}
