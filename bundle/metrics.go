package bundle

import "pumiceshelf/telemetry"

// Metrics of the package.
var (
	descNumber          = telemetry.Describe("bundle.number", "bundles", "Number of the bundle in force.")
	descActivated       = telemetry.Describe("bundle.in_force", "bundles", "Bundles put in force since the start.")
	descUnapproved      = telemetry.Describe("bundle.rejected.unapproved", "bundles", "Manifests kept out for lack of approval by the operators trusted.")
	descMalformed       = telemetry.Describe("bundle.rejected.malformed", "bundles", "Manifests or parts kept out because they do not decode or are not what their hash says.")
	descInvalid         = telemetry.Describe("bundle.rejected.invalid", "bundles", "Bundles kept out because a field is wrong.")
	descOlder           = telemetry.Describe("bundle.rejected.backwards", "manifests", "Manifests passed over because their number is below that of the bundle in force.")
	descFork            = telemetry.Describe("bundle.rejected.fork", "manifests", "Manifests passed over because another with the same number is in force.")
	descFetchRetry      = telemetry.Describe("bundle.retry.fetch", "fetches", "Fetches of a newer bundle that failed and are tried again.")
	descStoreFailed     = telemetry.Describe("bundle.retry.platform", "calls", "Watches and reads of the pointer that failed and are tried again.")
	descWatchMissed     = telemetry.Describe("bundle.watch.silent", "watches", "Watches that missed a change which the read behind them found.")
	descPartsFromPeer   = telemetry.Describe("bundle.parts.from_peer", "parts", "Parts fetched from peers.")
	descPartsFromStore  = telemetry.Describe("bundle.parts.from_platform", "parts", "Parts fetched from the platform.")
	descAnnounced       = telemetry.Describe("bundle.announce.sent", "messages", "Announcements of a bundle sent to peers.")
	descAnnounceFailed  = telemetry.Describe("bundle.announce.failed", "messages", "Announcements that got no answer; the peers behind that one are told directly.")
	descAnnounceDropped = telemetry.Describe("bundle.announce.dropped", "messages", "Announcements received while too many waited; the next comparison with peers makes up for them.")
	descSentBytes       = telemetry.Describe("bundle.sent", "bytes", "Payload of bundle messages sent to peers.")
	descReceivedBytes   = telemetry.Describe("bundle.received", "bytes", "Payload of bundle messages received from peers and of pointers and parts read from the platform.")
	descUnconfirmed     = telemetry.Describe("bundle.start.unconfirmed", "starts", "Peers of other domains passed over at a start because none could confirm its bundle with the platform.")
)
