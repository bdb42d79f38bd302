package settings_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"pumiceshelf/settings"
)

const exampleFile = "../examples/settings.hujson"

// readExample returns the content of the example settings file.
func readExample(t *testing.T) string {
	text, err := os.ReadFile(exampleFile)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestExampleIsValid(t *testing.T) {
	Convey("The example settings load with the defaults filled in", t, func() {
		s, err := settings.Load(exampleFile)
		So(err, ShouldBeNil)
		So(s.Name, ShouldEqual, "muscat-a-1")
		So(s.Log.Format, ShouldEqual, "json")
		So(s.Budget.SettleWait.AsDuration(), ShouldEqual, 2*time.Second)
		So(s.Peer.HeartbeatFanout, ShouldEqual, settings.Default().Peer.HeartbeatFanout)
	})
}

// invalidField is a change to the example settings that makes one field invalid.
type invalidField struct {
	// old is replaced by new. If old is empty, new is appended as a field.
	old, new string
	// path is the expected path of the problem.
	path string
	// value is the text that the problem must quote as the value of the field.
	value string
}

var invalidFields = []invalidField{
	{`"name": "muscat-a-1"`, `"name": ""`, "name", `""`},
	{`"name": "muscat-a-1"`, `"name": "muscat a/1"`, "name", `"muscat a/1"`},
	{`"domain": "muscat-a"`, `"domain": "muscat~a"`, "domain", "muscat~a"},
	{`"region": "muscat"`, `"region": ""`, "region", `""`},
	{`127.0.0.1:8443`, `localhost:8443`, "callerAddress", "localhost:8443"},
	{`127.0.0.1:7443`, `127.0.0.1`, "peerAddress", "127.0.0.1"},
	{`127.0.0.1:7443`, `0.0.0.0:7443`, "peerAddress", "0.0.0.0:7443"},
	{`127.0.0.1:9443`, `[::]:9443`, "adminAddress", "[::]:9443"},
	{`127.0.0.1:9443`, `127.0.0.1:99999`, "adminAddress", "127.0.0.1:99999"},
	{`127.0.0.1:9443`, `127.0.0.1:8443`, "adminAddress", "127.0.0.1:8443"},
	{`http://127.0.0.1:8000`, `http://platform:8000`, "platformUrl", "http://platform:8000"},
	{`http://127.0.0.1:8000`, `ftp://127.0.0.1:8000`, "platformUrl", "ftp://127.0.0.1:8000"},
	{"", `"callerTls": {"certificateFile": "absent.pem", "keyFile": "absent.key"}`, "callerTls.certificateFile", "absent.pem"},
	{"", `"callerTls": {"certificateFile": "absent.pem", "keyFile": "absent.key"}`, "callerTls.keyFile", "absent.key"},
	{"", `"peerTls": {"certificateFile": "absent.pem", "keyFile": "absent.key"}`, "peerTls.authorityFile", `""`},
	{`"id": "badr"`, `"id": "ana"`, "firstOperators[ana].id", "ana"},
	{`"id": "badr"`, `"id": ""`, "firstOperators[1].id", `""`},
	{`ebVWLo/mVPlAeLES6KmLp5AfhTrmlb7X4OORC60ElmQ=`, `ebVW`, "firstOperators[badr].publicKey", "3 bytes"},
	{`"firstThreshold": 2`, `"firstThreshold": 3`, "firstThreshold", "3"},
	{`"firstThreshold": 2`, `"firstThreshold": 0`, "firstThreshold", "0"},
	{`"level": "info"`, `"level": "loud"`, "log.level", "loud"},
	{`"format": "json"`, `"format": "xml"`, "log.format", "xml"},
	{`"settleWait": "2s"`, `"settleWait": "0s"`, "budget.settleWait", "0s"},
	{`"settleWait": "2s"`, `"settleWait": "-2s"`, "budget.settleWait", "-2s"},
	{`"outageToRideOut": "1200s"`, `"outageToRideOut": "1s"`, "budget.outageToRideOut", "1s"},
	{`"outageToRideOut": "1200s"`, `"outageToRideOut": "99999999s"`, "budget.outageToRideOut", "27777h46m39s"},
	{`"settleWait": "2s"`, `"flushInterval": "31s"`, "budget.orphanAfter", "30s"},
	{`"settleWait": "2s"`, `"foldInterval": "1s"`, "budget.foldInterval", "1s"},
	{`"settleWait": "2s"`, `"ceilingAhead": "-1s"`, "budget.ceilingAhead", "-1s"},
	{"", `"claim": {"shards": 2000}`, "claim.shards", "2000"},
	{"", `"claim": {"retention": "1s"}`, "claim.retention", "1s"},
	{"", `"claim": {"answerLimitBytes": 1000000}`, "claim.answerLimitBytes", "1000000"},
	{`{"defaultDeadline": "60s"}`, `{"queueLimit": 2000000}`, "admission.queueLimit", "2000000"},
	{`{"defaultDeadline": "60s"}`, `{"queueBytes": 10}`, "admission.queueBytes", "10"},
	{`{"defaultDeadline": "60s"}`, `{"defaultDeadline": "-1s"}`, "admission.defaultDeadline", "-1s"},
	{"", `"route": {"initialConcurrency": 2000000}`, "route.initialConcurrency", "2000000"},
	{"", `"route": {"ejectAfterFailures": 2000000}`, "route.ejectAfterFailures", "2000000"},
	{"", `"route": {"retryPercent": 101}`, "route.retryPercent", "101"},
	{"", `"route": {"ejectionTime": "-1s"}`, "route.ejectionTime", "-1s"},
	{"", `"peer": {"failureTimeout": "0.4s"}`, "peer.failureTimeout", "400ms"},
	{"", `"peer": {"heartbeatFanout": 2000000}`, "peer.heartbeatFanout", "2000000"},
	{"", `"server": {"bodyLimitBytes": "100000000000"}`, "server.bodyLimitBytes", "100000000000"},
	{"", `"server": {"requestLimit": 2000000}`, "server.requestLimit", "2000000"},
	{"", `"server": {"drainTimeout": "-1s"}`, "server.drainTimeout", "-1s"},
	{`"callsPerSecond": 50`, `"callsPerSecond": -1`, "platform.callsPerSecond", "-1"},
	{`"callsPerSecond": 50`, `"callsPerSecond": "NaN"`, "platform.callsPerSecond", "NaN"},
	{`"callTimeout": "2s"`, `"callTimeout": "-2s"`, "platform.callTimeout", "-2s"},
	{`"pollInterval": "30s"`, `"pollInterval": "-30s"`, "bundle.pollInterval", "-30s"},
}

func (f invalidField) apply(text string) string {
	if f.old == "" {
		end := strings.LastIndex(text, "}")
		return text[:end] + f.new + "}"
	}
	return strings.Replace(text, f.old, f.new, 1)
}

func TestEachInvalidField(t *testing.T) {
	text := readExample(t)
	Convey("Each invalid field is reported with its path, its value and the requirement", t, func() {
		for _, f := range invalidFields {
			changed := f.apply(text)
			So(changed, ShouldNotEqual, text)
			_, err := settings.Parse([]byte(changed))
			var problems settings.Problems
			So(errors.As(err, &problems), ShouldBeTrue)
			found := false
			for _, p := range problems {
				found = found || p.Path == f.path && strings.Contains(p.Value, f.value) && p.Requirement != ""
			}
			if !found {
				t.Errorf("no problem for %s with %s: got\n%v", f.path, f.new, problems)
			}
		}
	})
}

func TestAllProblemsReportedTogether(t *testing.T) {
	Convey("Empty settings report all missing fields at once", t, func() {
		_, err := settings.Parse([]byte("{}"))
		var problems settings.Problems
		So(errors.As(err, &problems), ShouldBeTrue)
		var paths []string
		for _, p := range problems {
			paths = append(paths, p.Path)
		}
		So(paths, ShouldResemble, []string{
			"name", "domain", "region", "callerAddress", "peerAddress", "adminAddress", "platformUrl", "firstOperators", "firstThreshold",
		})
	})
}

func TestMalformedFiles(t *testing.T) {
	Convey("An absent or malformed settings file is rejected with the cause", t, func() {
		_, err := settings.Load(filepath.Join(t.TempDir(), "absent.hujson"))
		So(errors.Is(err, os.ErrNotExist), ShouldBeTrue)
		for _, c := range []struct{ text, want string }{
			{`{"name": "a"`, "not JSON with comments"},
			{`{"nmae": "a"}`, `unknown field "nmae"`},
			{`{"peer": {"fanout": 3}}`, `unknown field "fanout"`},
			{`{"name": 3}`, "invalid value for string field name"},
			{`{"claim": {"shards": -1}}`, "invalid value for uint32 field shards"},
			{`{"claim": {"claimWait": "2 minutes"}}`, "google.protobuf.Duration"},
			{`[]`, "unexpected token ["},
		} {
			_, err := settings.Parse([]byte(c.text))
			So(err, ShouldNotBeNil)
			So(err.Error(), ShouldContainSubstring, c.want)
		}
	})
}
