package admin

import (
	"encoding/json"
	"net/http"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pumiceshelf/telemetry"
)

const (
	contentTypeJSON    = "application/json"
	contentTypeProblem = "application/problem+json"
	contentTypeText    = "text/plain; charset=utf-8"
)

// messageResponse returns a protobuf message as JSON.
func messageResponse(m proto.Message) response {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return problemResponse(http.StatusInternalServerError, err.Error())
	}
	return response{status: http.StatusOK, contentType: contentTypeJSON, body: append(body, '\n')}
}

// textResponse returns a plain text response.
func textResponse(status int, text string) response {
	return response{status: status, contentType: contentTypeText, body: []byte(text)}
}

// problemBody is an RFC 9457 problem details object.
type problemBody struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

// problemResponse returns an RFC 9457 problem with the standard title of the status.
func problemResponse(status int, detail string) response {
	body, err := json.Marshal(problemBody{Title: http.StatusText(status), Status: status, Detail: detail})
	if err != nil {
		return textResponse(status, detail)
	}
	return response{status: status, contentType: contentTypeProblem, body: append(body, '\n')}
}

// problemDetail returns the detail of a problem body, or the whole body if it is not a problem with a detail.
func problemDetail(body []byte) string {
	var p problemBody
	if err := json.Unmarshal(body, &p); err != nil || p.Detail == "" {
		return strings.TrimSpace(string(body))
	}
	return p.Detail
}

// metrics returns all metrics as lines of name and value, or as JSON if the format parameter or the Accept header asks
// for it.
func (a *Admin) metrics(r *http.Request) response {
	switch format := r.URL.Query().Get(ParamFormat); {
	case format == "json", format == "" && strings.Contains(r.Header.Get("Accept"), contentTypeJSON):
		body, err := json.Marshal(a.cfg.Registry)
		if err != nil {
			return problemResponse(http.StatusInternalServerError, err.Error())
		}
		return response{status: http.StatusOK, contentType: contentTypeJSON, body: append(body, '\n')}
	case format == "", format == "text":
		return textResponse(http.StatusOK, telemetry.FormatMetrics(a.cfg.Registry))
	default:
		return problemResponse(http.StatusBadRequest, "format is "+format+", must be json or text")
	}
}
