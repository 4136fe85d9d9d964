package main

import (
	"context"
	"crypto/rand"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/encoding/protojson"

	"github.com/jayloom/jayloom/api/controlpb"
	"github.com/jayloom/jayloom/api/rescode"
	"github.com/jayloom/jayloom/base/tlsconf"
)

// retryDelay is the delay before all control VMs are tried again.
const retryDelay = 100 * time.Millisecond

// withControl calls f with a client for each control VM in turn until a call returns a
// final result or the command times out. f must be idempotent.
func withControl(f func(context.Context, controlpb.ControlClient) error) error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(globalOptions.TimeoutMs)*time.Millisecond)
	defer cancel()
	ctx, err := withCredential(ctx)
	if err != nil {
		return err
	}
	for {
		var lastErr error
		for _, address := range globalOptions.Control {
			lastErr = callControl(ctx, address, f)
			if isFinal(lastErr) {
				return lastErr
			}
		}
		select {
		case <-ctx.Done():
			return errors.Wrap(lastErr, "no control VM answered in time")
		case <-time.After(retryDelay):
		}
	}
}

// isFinal reports whether no other control VM would give a different result.
func isFinal(err error) bool {
	if err == nil || status.Code(err) == codes.PermissionDenied {
		return true
	}
	var refusal *rescode.Error
	return errors.As(err, &refusal) && !mustResend(refusal.Code)
}

// mustResend reports whether the command has to be sent again with the same request
// identity because its result is unknown.
func mustResend(code rescode.Code) bool {
	return code == rescode.NotLeader || code == rescode.ControlUnavailable
}

func callControl(ctx context.Context, address string, f func(context.Context, controlpb.ControlClient) error) error {
	files := tlsconf.Files{Cert: globalOptions.TLSCert, Key: globalOptions.TLSKey, CA: globalOptions.TLSCA}
	credentials, err := files.GRPCCredentials()
	if err != nil {
		return err
	}
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(credentials))
	if err != nil {
		return errors.Wrapf(err, "address of control VM %s", address)
	}
	defer conn.Close()
	callCtx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	return f(callCtx, controlpb.NewControlClient(conn))
}

func withCredential(ctx context.Context) (context.Context, error) {
	if globalOptions.CredentialFile == "" {
		return ctx, nil
	}
	data, err := os.ReadFile(globalOptions.CredentialFile)
	if err != nil {
		return nil, errors.Wrap(err, "read operator credential")
	}
	return metadata.AppendToOutgoingContext(ctx, "authorization", "Bearer "+strings.TrimSpace(string(data))), nil
}

// propose sends a change and prints the resulting revision.
func propose(command *controlpb.Command) error {
	result, err := send(command)
	if err != nil {
		return err
	}
	return printResult(result)
}

// send sends a change and returns its result. A refusal is returned as an error.
func send(command *controlpb.Command) (*controlpb.CommandResult, error) {
	command.RequestId = globalOptions.RequestID
	if command.RequestId == "" {
		command.RequestId = rand.Text()
	}
	command.ExpectedRevision = globalOptions.ExpectedRevision
	command.Actor = os.Getenv("USER")
	var result *controlpb.CommandResult
	err := withControl(func(ctx context.Context, client controlpb.ControlClient) error {
		reply, err := client.Propose(ctx, &controlpb.ProposeRequest{Command: command})
		if err != nil {
			return err
		}
		result = reply.Result
		return resultError(result)
	})
	return result, err
}

func resultError(result *controlpb.CommandResult) error {
	if result.GetCode() == uint32(rescode.OK) {
		return nil
	}
	return &rescode.Error{Code: rescode.Code(result.Code), Detail: result.Message}
}

func printResult(result *controlpb.CommandResult) error {
	if globalOptions.JSON {
		fmt.Println(protojson.Format(result))
		return nil
	}
	fmt.Printf("applied, revision %d\n", result.Revision)
	return nil
}
