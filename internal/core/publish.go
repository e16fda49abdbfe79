package core

import (
	"slices"
	"time"

	"github.com/gentianpick/gentianpick/internal/message"
	"github.com/gentianpick/gentianpick/internal/model"
	"github.com/gentianpick/gentianpick/internal/publication"
	"github.com/gentianpick/gentianpick/internal/record"
)

// pendingPublish is an operator's publish request whose record has not been read back
// yet.
type pendingPublish struct {
	id       string
	requests []model.RequestID
	payload  []byte
	// base is the version that the text was derived from. The append waits until this
	// instance has read that version: against an unknown base, the publish would lose
	// now but could win later, when a repeated append arrives.
	base         uint64
	batch        string // id of the append in flight; empty if there is none
	maybeApplied bool   // an append may have taken effect
	retryAt      model.Time
	deadline     model.Time
}

const (
	// publishTimeout is how long a publisher waits for its record to be read back. A
	// change must be in force within 7 s, so a longer wait is of no use.
	publishTimeout = 7 * time.Second
	// textRequestInterval is the minimum interval between requests for a text, since
	// heartbeats of several peers may name the same newer version.
	textRequestInterval = 500 * time.Millisecond
)

// onPublish appends a publish record. Conflicts are resolved when the record is folded.
func (c *Core) onPublish(ev *Publish) {
	if code := c.checkPublish(ev); code != model.CodeNone {
		v, _, _, _, _ := c.pub.Current()
		c.emit(Effect{Publish: &PublishAnswer{Request: ev.Request, Version: v, Code: code}})
		return
	}
	if p := c.publishes[ev.ID]; p != nil {
		p.requests = append(p.requests, ev.Request)
		return
	}
	p := &pendingPublish{id: ev.ID, requests: []model.RequestID{ev.Request}, deadline: c.now.Add(publishTimeout)}
	b := record.Batch{ID: c.nextID(), Writer: c.cfg.Self.Incarnation, Entries: []record.Entry{
		{Publish: &record.Publish{ID: ev.ID, Base: ev.Base, Text: ev.Text}},
	}}
	payload, err := record.Encode(b)
	if err != nil {
		c.emit(Effect{Publish: &PublishAnswer{Request: ev.Request, Code: model.CodeInternal}})
		return
	}
	p.payload, p.base = payload, ev.Base
	c.publishes[ev.ID] = p
	if p.base <= c.textVersion() {
		c.sendPublish(p)
	}
}

// checkPublish rejects a text that is invalid or changes the list of data centres. The
// list determines the home data centre of each key: after a change, a used key would be
// looked up in another data centre and might run again.
func (c *Core) checkPublish(ev *Publish) model.Code {
	t, err := c.parse(ev.Text)
	switch {
	case err != nil:
		return model.CodeTextInvalid
	case ev.ID == "":
		return model.CodeBadRequest
	case c.draining:
		return model.CodeDraining
	case !c.configStream.caughtUp && c.text == nil:
		return model.CodeLogUnavailable
	case c.text != nil && !slices.Equal(c.text.DataCentres, t.DataCentres):
		return model.CodeHomesChanged
	}
	return model.CodeNone
}

// textVersion returns the version of the text in force, or 0 if there is none.
func (c *Core) textVersion() uint64 {
	v, _, _, _, _ := c.pub.Current()
	return v
}

func (c *Core) sendPublish(p *pendingPublish) {
	p.batch = c.nextID()
	c.count("appends", "", 1)
	c.emit(Effect{Append: &Append{Stream: record.ConfigStream, Batch: p.batch, Payload: p.payload}})
}

// onPublishAppended handles the result of an append to the config stream. It reports
// whether the event belongs to such an append.
func (c *Core) onPublishAppended(ev *Appended) bool {
	for _, id := range sortedKeys(c.publishes) {
		p := c.publishes[id]
		if p.batch != ev.Batch {
			continue
		}
		if ev.Delivery != DeliveryNotSent {
			p.maybeApplied = true
		}
		if ev.Delivery != DeliveryOK {
			p.batch = ""
			p.retryAt = c.now.Add(c.jitter(appendRetryDelay, 0.5, 1.5))
		}
		return true
	}
	return false
}

// tickPublishes repeats lost appends and answers publishers whose deadline has passed.
func (c *Core) tickPublishes() {
	for _, id := range sortedKeys(c.publishes) {
		p := c.publishes[id]
		switch {
		case c.now >= p.deadline:
			code := model.CodeLogUnavailable
			if p.maybeApplied || p.batch != "" {
				code = model.CodeInDoubt // the publisher repeats the request with the same id to learn the outcome
			}
			c.answerPublish(id, false, code)
		case p.batch == "" && c.now >= p.retryAt && p.base <= c.textVersion():
			c.sendPublish(p)
		}
	}
	c.carryText()
}

func (c *Core) answerPublish(id string, accepted bool, code model.Code) {
	p := c.publishes[id]
	if p == nil {
		return
	}
	delete(c.publishes, id)
	v, _, _, _, _ := c.pub.Current()
	for _, r := range p.requests {
		c.emit(Effect{Publish: &PublishAnswer{Request: r, Accepted: accepted, Version: v, Code: code}})
	}
}

// foldConfig folds one record of the config stream.
func (c *Core) foldConfig(offset uint64, e record.Entry) {
	switch {
	case e.Publish != nil:
		c.applyPublication(c.pub.FoldPublish(offset, *e.Publish))
	case e.Carry != nil:
		c.applyPublication(c.pub.FoldCarry(offset, *e.Carry))
	default:
		return
	}
	// The age of records that were read while catching up is not known.
	if c.configStream.caughtUp && offset == c.pub.AsOf() {
		c.pub.NoteWritten(c.now)
	}
}

// applyPublication applies the decisions that result from folding a record.
func (c *Core) applyPublication(r publication.Result) {
	for _, d := range append([]publication.Decision{r.Decision}, r.Resolved...) {
		c.count("publishes", string(d.Status), 1)
		switch d.Status {
		case publication.Adopted, publication.Repeated:
			c.answerPublish(d.ID, true, model.CodeNone)
		case publication.Conflict:
			c.answerPublish(d.ID, false, model.CodeVersionConflict)
		}
	}
	if r.Changed {
		c.adoptText()
	}
}

// adoptText applies the current version of the service text on this instance.
func (c *Core) adoptText() {
	v, hash, id, data, ok := c.pub.Current()
	if !ok {
		return
	}
	c.emit(Effect{Text: &ActiveText{Version: v, Hash: hash, ID: id, Text: data}})
	t, err := c.parse(data)
	if err != nil {
		// A newer program version accepted a text that this one cannot parse. The
		// version takes effect, but the previous policy stays in use.
		c.count("text_parse_errors", "", 1)
		return
	}
	c.text, c.parsedTextVersion = t, v
	c.change("service text", t.Name, "", hex16(hash))
	if c.owner != nil {
		c.applyServiceText()
	}
	c.updateReady()
}

// reconcileText requests the text of a peer if it is newer than the local one, and
// counts an equal version with a different hash.
func (c *Core) reconcileText(from model.Member, version, hash uint64) {
	v, own, _, _, _ := c.pub.Current()
	if version == v && version != 0 && hash != own {
		c.count("text_hash_mismatches", "", 1)
	}
	if version <= v || c.now < c.nextTextRequest {
		return
	}
	c.nextTextRequest = c.now.Add(textRequestInterval)
	c.send(from, message.Body{TextRequest: &message.TextRequest{Have: v}})
}

func (c *Core) onTextRequest(from model.Member, r *message.TextRequest) {
	v, hash, id, data, ok := c.pub.Current()
	if !ok || v <= r.Have {
		return
	}
	c.send(from, message.Body{TextReply: &message.TextReply{
		Version: v, Hash: hash, ID: id, Text: data, AsOf: c.pub.AsOf(),
	}})
}

func (c *Core) onTextReply(r *message.TextReply) {
	c.count("texts_from_peers", "", 1)
	c.applyPublication(c.pub.Adopt(*r))
}

// carryText appends the text in force again before the log's retention expires.
func (c *Core) carryText() {
	if !c.acting() || !c.configStream.readOK || !c.pub.CarryDue(c.now, c.cfg.Timing.LogRetention, c.carryJitter) {
		return
	}
	carry := c.pub.Carry()
	b := record.Batch{ID: c.nextID(), Writer: c.cfg.Self.Incarnation, Entries: []record.Entry{{Carry: &carry}}}
	payload, err := record.Encode(b)
	if err != nil {
		c.count("encode_errors", "", 1)
		return
	}
	c.pub.NoteWritten(c.now)
	c.count("carries", "", 1)
	c.count("appends", "", 1)
	c.emit(Effect{Append: &Append{Stream: record.ConfigStream, Batch: b.ID, Payload: payload}})
}
