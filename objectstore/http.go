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
	"pumiceshelf/responsecheck"
)

// Paths of the object API.
const (
	objectsPath   = "/v1/objects"
	instancesPath = "/v1/instances"
)

// maxListBytes bounds the response body of a List or Instances call.
const maxListBytes = 64 << 20

// HTTPStoreConfig configures an HTTPStore.
type HTTPStoreConfig struct {
	// URL is the base URL with an IP address and port.
	URL string
	// Name is the name of the instance. It is sent as the User-Agent so that the platform's operators can identify callers.
	Name string
	// Client sends the requests. Its transport configures dialing and TLS, and is changed, see responsecheck.Client.
	Client *http.Client
	// CallTimeout bounds every call except watches.
	CallTimeout time.Duration
	// WatchTimeout bounds a watch. It must be longer than the platform's own time limit for watches.
	WatchTimeout time.Duration
}

// HTTPStore calls the object API over HTTP. It implements Store and InstanceLister and is safe for concurrent use.
type HTTPStore struct {
	config HTTPStoreConfig
}

// NewHTTPStore returns a client of the object API.
func NewHTTPStore(c HTTPStoreConfig) *HTTPStore {
	c.URL = strings.TrimSuffix(c.URL, "/")
	c.Client = responsecheck.Client(c.Client)
	return &HTTPStore{config: c}
}

// response is a response of the object API with its complete body.
type response struct {
	status  int
	version Version
	body    []byte
	// unframed is set if the response has neither a length nor chunks, so that its end does not show that the body is whole.
	unframed bool
}

// objectList is the response body of a List call.
type objectList struct {
	Objects []listedObject `json:"objects"`
}

type listedObject struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value"`
}

// Get implements Store.
func (h *HTTPStore) Get(ctx context.Context, key string) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	resp, err := h.read(ctx, objectPath(key), MaxValueBytes)
	if err != nil {
		return Object{}, err
	}
	return resp.object(key)
}

// Watch implements Store.
func (h *HTTPStore) Watch(ctx context.Context, key string, after Version) (Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.WatchTimeout)
	defer cancel()
	resp, err := h.read(ctx, objectPath(key)+"?watch=1&after="+formatVersion(after), MaxValueBytes)
	if err != nil {
		return Object{}, err
	}
	if resp.status == http.StatusNotModified {
		return Object{}, ErrUnchanged
	}
	return resp.object(key)
}

// List implements Store.
func (h *HTTPStore) List(ctx context.Context, prefix, after string, limit int) ([]Object, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	query := url.Values{"prefix": {prefix}, "after": {after}, "limit": {strconv.Itoa(limit)}}
	resp, err := h.read(ctx, objectsPath+"?"+query.Encode(), maxListBytes)
	if err != nil {
		return nil, err
	}
	var list objectList
	if err := json.Unmarshal(resp.body, &list); err != nil {
		return nil, fmt.Errorf("%w: list: %v", ErrMalformed, err)
	}
	out := make([]Object, 0, len(list.Objects))
	for _, o := range list.Objects {
		out = append(out, Object(o))
	}
	return out, nil
}

// Instances implements InstanceLister.
func (h *HTTPStore) Instances(ctx context.Context) (*api.InstanceList, error) {
	ctx, cancel := context.WithTimeout(ctx, h.config.CallTimeout)
	defer cancel()
	resp, err := h.read(ctx, instancesPath, maxListBytes)
	if err != nil {
		return nil, err
	}
	list := &api.InstanceList{}
	unmarshal := protojson.UnmarshalOptions{DiscardUnknown: true}
	if err := unmarshal.Unmarshal(resp.body, list); err != nil {
		return nil, fmt.Errorf("%w: instance list: %v", ErrMalformed, err)
	}
	return list, nil
}

// Put implements Store.
func (h *HTTPStore) Put(ctx context.Context, key string, value []byte, expected Version) (Version, error) {
	if len(value) > MaxValueBytes {
		return 0, ErrTooLarge
	}
	resp, err := h.write(ctx, http.MethodPut, key, value, expected)
	if err != nil {
		return 0, err
	}
	if resp.version == 0 {
		return 0, fmt.Errorf("%w: response to a write has no version", ErrAmbiguous)
	}
	return resp.version, nil
}

// Delete implements Store.
func (h *HTTPStore) Delete(ctx context.Context, key string, expected Version) error {
	_, err := h.write(ctx, http.MethodDelete, key, nil, expected)
	return err
}

// read sends a GET request. It returns an error for every status except 200 and 304.
func (h *HTTPStore) read(ctx context.Context, path string, limit int64) (response, error) {
	resp, err := h.call(ctx, http.MethodGet, path, nil, nil, limit)
	if err != nil {
		return response{}, err
	}
	switch resp.status {
	case http.StatusOK, http.StatusNotModified:
		return resp, nil
	case http.StatusNotFound:
		return response{}, ErrNotFound
	default:
		return response{}, fmt.Errorf("%w: status %d", ErrUnavailable, resp.status)
	}
}

// write sends a conditional update. It returns ErrAmbiguous for every failure after part of the request may have been
// sent.
func (h *HTTPStore) write(ctx context.Context, method, key string, value []byte, expected Version) (response, error) {
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
	resp, err := h.call(httptrace.WithClientTrace(ctx, trace), method, objectPath(key), header, value, MaxValueBytes)
	if err != nil {
		if sent.Load() {
			return response{}, fmt.Errorf("%w: %v", ErrAmbiguous, err)
		}
		return response{}, err
	}
	return resp, writeError(resp.status)
}

// writeError maps the status of a write to an error. A status that may come from a proxy is ambiguous, because the object
// API may have applied the write.
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
		return fmt.Errorf("%w: rate limit of the platform exceeded", ErrUnavailable)
	default:
		return fmt.Errorf("%w: status %d", ErrAmbiguous, status)
	}
}

// call sends one request and reads the complete response. Its errors wrap ErrUnavailable or ErrMalformed.
func (h *HTTPStore) call(ctx context.Context, method, path string, header http.Header, body []byte, limit int64) (response, error) {
	req, err := http.NewRequestWithContext(ctx, method, h.config.URL+path, bytes.NewReader(body))
	if err != nil {
		return response{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	req.Header.Set("User-Agent", h.config.Name)
	for name, values := range header {
		req.Header[name] = values
	}
	resp, err := h.config.Client.Do(req)
	if err != nil {
		return response{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	defer resp.Body.Close()
	value, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return response{}, fmt.Errorf("%w: %v", ErrUnavailable, err)
	}
	if int64(len(value)) > limit {
		return response{}, fmt.Errorf("%w: response exceeds %d bytes", ErrMalformed, limit)
	}
	version, err := parseVersion(resp.Header.Get("ETag"))
	if err != nil {
		return response{}, err
	}
	unframed := resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && !resp.Uncompressed
	return response{status: resp.StatusCode, version: version, body: value, unframed: unframed}, nil
}

func (r response) object(key string) (Object, error) {
	if r.version == 0 {
		return Object{}, fmt.Errorf("%w: object without a version", ErrMalformed)
	}
	if r.unframed {
		return Object{}, fmt.Errorf("%w: response with object %q has neither a length nor chunks", ErrMalformed, key)
	}
	return Object{Key: key, Version: r.version, Value: r.body}, nil
}

func objectPath(key string) string { return objectsPath + "/" + url.PathEscape(key) }

func formatVersion(v Version) string { return strconv.FormatUint(uint64(v), 10) }

func quoteVersion(v Version) string { return `"` + formatVersion(v) + `"` }

// parseVersion parses an entity tag. An empty tag is version zero.
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

// IsOutage reports whether an error means that the platform gave no usable response, as opposed to a valid rejection.
func IsOutage(err error) bool {
	return errors.Is(err, ErrUnavailable) || errors.Is(err, ErrAmbiguous) || errors.Is(err, ErrThrottled) || errors.Is(err, ErrMalformed)
}
