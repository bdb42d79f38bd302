package standin

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"pumiceshelf/objectstore"
)

// callerHeader is the header that identifies the caller of the object API, so that faults can apply to single callers.
const callerHeader = "User-Agent"

// Handler returns a handler that serves the object API over HTTP.
func (o *Objects) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/objects/{key...}", o.serveGet)
	mux.HandleFunc("PUT /v1/objects/{key...}", o.servePut)
	mux.HandleFunc("DELETE /v1/objects/{key...}", o.serveDelete)
	mux.HandleFunc("GET /v1/objects", o.serveList)
	mux.HandleFunc("GET /v1/instances", o.serveInstances)
	return mux
}

func (o *Objects) client(r *http.Request) *Client { return o.Client(r.Header.Get(callerHeader)) }

func (o *Objects) serveGet(w http.ResponseWriter, r *http.Request) {
	var obj objectstore.Object
	var err error
	if r.URL.Query().Get("watch") == "" {
		obj, err = o.client(r).Get(r.Context(), r.PathValue("key"))
	} else {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		obj, err = o.client(r).Watch(r.Context(), r.PathValue("key"), objectstore.Version(after))
	}
	if err != nil {
		writeError(w, err)
		return
	}
	setVersion(w, obj.Version)
	w.Write(obj.Value)
}

func (o *Objects) servePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, objectstore.MaxValueBytes))
	if err != nil {
		writeError(w, objectstore.ErrTooLarge)
		return
	}
	version, err := o.client(r).Put(r.Context(), r.PathValue("key"), value, expectedVersion(r))
	if err != nil {
		writeError(w, err)
		return
	}
	setVersion(w, version)
}

func (o *Objects) serveDelete(w http.ResponseWriter, r *http.Request) {
	if err := o.client(r).Delete(r.Context(), r.PathValue("key"), expectedVersion(r)); err != nil {
		writeError(w, err)
	}
}

// listedObject is one object in the response to a list request.
type listedObject struct {
	Key     string              `json:"key"`
	Version objectstore.Version `json:"version"`
	Value   []byte              `json:"value"`
}

func (o *Objects) serveList(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, _ := strconv.Atoi(q.Get("limit"))
	objects, err := o.client(r).List(r.Context(), q.Get("prefix"), q.Get("after"), limit)
	if err != nil {
		writeError(w, err)
		return
	}
	listed := make([]listedObject, 0, len(objects))
	for _, obj := range objects {
		listed = append(listed, listedObject(obj))
	}
	json.NewEncoder(w).Encode(map[string][]listedObject{"objects": listed})
}

func (o *Objects) serveInstances(w http.ResponseWriter, r *http.Request) {
	list, err := o.client(r).Instances(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	body, err := protojson.Marshal(list)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Write(body)
}

func setVersion(w http.ResponseWriter, v objectstore.Version) {
	w.Header().Set("ETag", strconv.Quote(strconv.FormatUint(uint64(v), 10)))
}

func expectedVersion(r *http.Request) objectstore.Version {
	v, _ := strconv.ParseUint(strings.Trim(r.Header.Get("If-Match"), `"`), 10, 64)
	return objectstore.Version(v)
}

// writeError responds with the status code of an error. For a lost response it closes the connection without responding.
func writeError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, objectstore.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, objectstore.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, objectstore.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, objectstore.ErrUnchanged):
		w.WriteHeader(http.StatusNotModified)
	case errors.Is(err, objectstore.ErrAmbiguous):
		panic(http.ErrAbortHandler)
	default:
		w.WriteHeader(http.StatusTooManyRequests)
	}
}
