package commander

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"

	"github.com/go-logr/logr"

	"github.com/currantrouter/currantrouter/internal/operator/authorizer"
	"github.com/currantrouter/currantrouter/internal/operator/server"
)

// maxAnswerBytes bounds the memory for an answer. The plan from a sheet of the maximum size is
// smaller.
const maxAnswerBytes = 256 << 20

// client sends requests to one entry host.
type client struct {
	base string
	http *http.Client
}

// newClient returns a client for the options of the command line.
func newClient(op *options) (*client, error) {
	cl := &client{base: "http://" + op.address.String()}
	// http.Transport may resend a request when a reused connection breaks, so none is reused.
	tr := &http.Transport{DisableKeepAlives: true, Proxy: nil}
	if !op.Insecure {
		cfg, err := op.tlsConfig()
		if err != nil {
			return nil, err
		}
		tr.TLSClientConfig = cfg
		cl.base = "https://" + op.address.String()
	} else if !op.address.Addr().IsLoopback() {
		return nil, failf(ExitUsage, "%w: --address is %s", authorizer.ErrNotLoopback, op.address)
	}
	cl.http = &http.Client{Transport: tr}
	return cl, nil
}

func (op *options) tlsConfig() (*tls.Config, error) {
	if op.Certificate == "" || op.Key == "" || op.Authorities == "" {
		return nil, failf(ExitUsage, "--certificate, --key and --authorities are needed, or --insecure on loopback")
	}
	fls := authorizer.Files{Certificate: string(op.Certificate), Key: string(op.Key), Authorities: string(op.Authorities)}
	au, err := authorizer.New(fls, logr.Discard())
	if err != nil {
		return nil, failf(ExitUsage, "%w", err)
	}
	cfg := au.ClientConfig()
	cfg.ServerName = op.ServerName
	return cfg, nil
}

// get decodes the JSON document at the path into a value.
func (cl *client) get(ctx context.Context, path string, query url.Values, into any) error {
	return cl.do(ctx, http.MethodGet, path, query, nil, into)
}

// send posts a document as JSON and decodes the answer into a value.
func (cl *client) send(ctx context.Context, path string, doc, into any) error {
	body, err := json.Marshal(doc)
	if err != nil {
		return failf(ExitUsage, "%w", err)
	}
	return cl.do(ctx, http.MethodPost, path, nil, body, into)
}

// post sends a document that the host returns as its answer.
func (cl *client) post(ctx context.Context, path string, doc any) error {
	return cl.send(ctx, path, doc, doc)
}

// rejectedError is an error answer of the host, with its HTTP status.
type rejectedError struct {
	server.Rejection
	status int
}

func (re *rejectedError) Error() string { return fmt.Sprintf("%s: %s", re.Code, re.Message) }

// do sends a request and decodes its answer. The body may be nil.
func (cl *client) do(ctx context.Context, method, path string, query url.Values, body []byte, into any) error {
	target := cl.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	rq, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return failf(ExitUsage, "%w", err)
	}
	rs, err := cl.http.Do(rq)
	if err != nil {
		return transportError(method, err)
	}
	defer rs.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswerBytes))
	if err != nil {
		return transportError(method, err)
	}
	if rs.StatusCode != http.StatusOK {
		return responseError(method, rs.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, into); err != nil {
		return failf(ExitInternal, "the answer of the host cannot be read: %w", err)
	}
	return nil
}

// transportError returns the error of a request without a complete answer. The result is unknown
// only for a request that changes something and may have been sent.
func transportError(method string, err error) error {
	var oe *net.OpError
	var ce *tls.CertificateVerificationError
	var re tls.RecordHeaderError
	op := errors.As(err, &oe)
	switch {
	case errors.As(err, &ce):
		return failf(ExitNotAllowed, "the host's certificate is not accepted: %w", err)
	case op && oe.Op == "remote error":
		return failf(ExitNotAllowed, "the host does not accept the certificate: %w", err)
	case method == http.MethodGet || op && oe.Op == "dial" || errors.As(err, &re):
		return failf(ExitUnreachable, "%w", err)
	}
	return failf(ExitResultUnknown, "the answer was lost: %w", err)
}

// responseError returns the error of an answer with an error status.
func responseError(method string, status int, answer []byte) error {
	re := &rejectedError{status: status}
	if err := json.Unmarshal(answer, &re.Rejection); err != nil || re.Code == "" {
		re.Code, re.Message = "NoAnswer", fmt.Sprintf("status %d without a description", status)
	}
	ex, ok := exitByStatus[status]
	switch {
	case !ok:
		ex = ExitInternal
	case ex == ExitResultUnknown && method == http.MethodGet:
		ex = ExitUnavailable
	}
	return &commandError{exit: ex, err: re}
}
