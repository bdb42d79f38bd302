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
	typeJSON    = "application/json"
	typeProblem = "application/problem+json"
	typeText    = "text/plain; charset=utf-8"
)

func message(m proto.Message) result {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return problem(http.StatusInternalServerError, err.Error())
	}
	return result{status: http.StatusOK, contentType: typeJSON, body: append(body, '\n')}
}

func plain(status int, text string) result {
	return result{status: status, contentType: typeText, body: []byte(text)}
}

// problemBody is an RFC 9457 problem.
type problemBody struct {
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

func problem(status int, detail string) result {
	body, err := json.Marshal(problemBody{Title: http.StatusText(status), Status: status, Detail: detail})
	if err != nil {
		return plain(status, detail)
	}
	return result{status: status, contentType: typeProblem, body: append(body, '\n')}
}

// detailOf returns the detail of a problem, or the body itself if it is none.
func detailOf(body []byte) string {
	var p problemBody
	if err := json.Unmarshal(body, &p); err != nil || p.Detail == "" {
		return strings.TrimSpace(string(body))
	}
	return p.Detail
}

// metrics answers with every metric as one line of name and value, or as JSON when asked for by format or Accept.
func (a *Admin) metrics(r *http.Request) result {
	switch format := r.URL.Query().Get(ParamFormat); {
	case format == "json", format == "" && strings.Contains(r.Header.Get("Accept"), typeJSON):
		body, err := json.Marshal(a.cfg.Registry)
		if err != nil {
			return problem(http.StatusInternalServerError, err.Error())
		}
		return result{status: http.StatusOK, contentType: typeJSON, body: append(body, '\n')}
	case format == "", format == "text":
		return plain(http.StatusOK, telemetry.FormatMetrics(a.cfg.Registry))
	default:
		return problem(http.StatusBadRequest, "format is "+format+", must be json or text")
	}
}
