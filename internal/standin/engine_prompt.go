package standin

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lengths of answers, in tokens, that are not limited by a cap.
const (
	minAnswerTokens    = 16
	answerLengthSpread = 32
)

type chatRequest struct {
	Model         string `json:"model"`
	Stream        bool   `json:"stream"`
	MaxTokens     int    `json:"max_tokens"`
	StreamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Messages []struct {
		Role    string          `json:"role"`
		Content json.RawMessage `json:"content"`
	} `json:"messages"`
}

type contentPart struct {
	Text     string `json:"text"`
	ImageURL struct {
		URL string `json:"url"`
	} `json:"image_url"`
}

// ParsePrompt returns the model and prompt of a request body as they appear in Run, and the number of prompt tokens.
func ParsePrompt(body []byte) (model, prompt string, tokens int, err error) {
	var r chatRequest
	if err := json.Unmarshal(body, &r); err != nil {
		return "", "", 0, err
	}
	prompt, tokens = r.promptAndTokens()
	return r.Model, prompt, tokens, nil
}

func (r *chatRequest) promptAndTokens() (string, int) {
	var b strings.Builder
	tokens := 0
	for _, m := range r.Messages {
		var text string
		var parts []contentPart
		if json.Unmarshal(m.Content, &text) == nil {
			parts = []contentPart{{Text: text}}
		} else {
			_ = json.Unmarshal(m.Content, &parts)
		}
		b.WriteString(m.Role + ":")
		for _, p := range parts {
			b.WriteString(p.Text)
			b.WriteString(p.ImageURL.URL)
			tokens += (len(p.Text) + 3) / 4
			if p.ImageURL.URL != "" {
				tokens += defaultImageTokens
			}
		}
		b.WriteString("\n")
	}
	return b.String(), tokens
}

// Answer returns the first tokens of the answer that every engine gives to a prompt. Each token is a word and a space.
func Answer(model, prompt string, tokens int) string {
	return answerText(answerSeed(model, prompt), tokens)
}

// AnswerLength returns the length in tokens of the answer to a prompt without a cap.
func AnswerLength(model, prompt string) int {
	return minAnswerTokens + int(answerSeed(model, prompt)%answerLengthSpread)
}

func answerSeed(model, prompt string) uint64 { return xxhash.Sum64String(model + "\x00" + prompt) }

func tokenText(seed uint64, i int) string {
	h := xxhash.Sum64String(strconv.FormatUint(seed, 36) + ":" + strconv.Itoa(i))
	return strconv.FormatUint(h%(36*36*36*36), 36) + " "
}

func answerText(seed uint64, tokens int) string {
	var b strings.Builder
	for i := range tokens {
		b.WriteString(tokenText(seed, i))
	}
	return b.String()
}
