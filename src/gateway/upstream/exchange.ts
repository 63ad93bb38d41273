/**
 * One attempt: a request sent once on one connection, and its answer taken in whole or seen to fail.
 */
import type { IncomingHttpHeaders } from "node:http";
import type { Dispatcher } from "undici";
import { headers } from "../../platform/worker.js";
import { reasons } from "../counters.js";

/** Where an answer goes that is too large to be collected first. */
export interface AnswerSink {
    /** Writes the head of the answer. */
    begin(status: number, answerHeaders: IncomingHttpHeaders): void;
    /** Writes a part; where it answers false, `onDrain` is called once more can be written. */
    write(chunk: Buffer, onDrain: () => void): boolean;
    end(): void;
    /** Breaks the caller's connection off, so that a part never looks whole. */
    abort(): void;
}

/** One request as it goes to an upstream. */
export interface UpstreamRequest {
    /** Needed where the dispatcher serves several origins. */
    readonly origin?: string;
    readonly method: string;
    readonly path: string;
    readonly headers: Record<string, string | string[]>;
    readonly body: Buffer;
    readonly requestId: string;
    readonly bufferBytes: number;
    readonly limitBytes: number;
    /** Milliseconds left until the answer is of no use. */
    readonly timeoutMilliseconds: number;
    /** Asked right before the first byte leaves. */
    maySend(): boolean;
}

/** How an attempt ended. */
export type ExchangeResult =
    | { readonly kind: "whole"; readonly status: number; readonly headers: IncomingHttpHeaders; readonly body: Buffer; }
    /** The whole answer has gone to the sink. */
    | { readonly kind: "streamed"; readonly status: number; }
    | {
        readonly kind: "failed";
        /** The first byte of the request had left. */
        readonly sent: boolean;
        /** A part of the answer had gone to the sink, which has been cut. */
        readonly responseStarted: boolean;
        readonly reason: string;
        readonly message: string;
    };

const STATUS_NO_CONTENT = 204;
const STATUS_NOT_MODIFIED = 304;
const FIRST_FINAL_STATUS = 200;

/** Sends a request through a dispatcher. Its connection may be used again only after a result but `failed`. */
export function exchange(dispatcher: Dispatcher, request: UpstreamRequest, sink: AnswerSink): Promise<ExchangeResult> {
    return new Promise(resolve => {
        const handler = new ExchangeHandler(request, sink, resolve);
        dispatcher.dispatch({
            ...(request.origin === undefined ? {} : { origin: request.origin }),
            method: request.method,
            path: request.path,
            headers: request.headers,
            body: request.body.length === 0 ? null : request.body,
            idempotent: false,
        }, handler);
    });
}

/** Takes in one answer. */
class ExchangeHandler implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private readonly timer: NodeJS.Timeout;
    private status = 0;
    private answerHeaders: IncomingHttpHeaders = {};
    private chunks: Buffer[] = [];
    private size = 0;
    private responseStarted = false;
    private sent = false;
    private done = false;
    private paused = false;

    constructor(
        private readonly request: UpstreamRequest,
        private readonly sink: AnswerSink,
        private readonly resolve: (result: ExchangeResult) => void,
    ) {
        this.timer = setTimeout(() => this.timeOut(), Math.max(0, request.timeoutMilliseconds));
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        if (this.sent || this.done) {
            // Nothing may leave after a time-out, nor may a request leave twice.
            controller.abort(new Error("the request must not be sent"));
            return;
        }
        if (!this.request.maySend()) {
            this.fail(reasons.permitLapsed, "the leave to send has lapsed");
            controller.abort(new Error("the leave to send has lapsed"));
            return;
        }
        this.controller = controller;
        this.sent = true;
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        answerHeaders: IncomingHttpHeaders,
    ): void {
        if (status < FIRST_FINAL_STATUS || this.done) {
            return;
        }
        this.status = status;
        this.answerHeaders = answerHeaders;
        const length = answerHeaders["content-length"];
        const answeredId = answerHeaders[headers.requestId];
        if (answeredId !== undefined && answeredId !== this.request.requestId) {
            this.reject(reasons.answerCrossed, "the answer belongs to another request");
        }
        else if (length === undefined && !this.isDelimited()) {
            this.reject(reasons.answerUndelimited, "the end of the answer cannot be told from a broken connection");
        }
        else if (length !== undefined && Number(length) > this.request.limitBytes) {
            this.reject(reasons.answerOversized, `the answer is larger than ${this.request.limitBytes} bytes`);
        }
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.done) {
            return;
        }
        this.size += chunk.length;
        if (this.size > this.request.limitBytes) {
            this.reject(reasons.answerOversized, `the answer is larger than ${this.request.limitBytes} bytes`);
            return;
        }
        this.chunks.push(chunk);
        if (this.size > this.request.bufferBytes) {
            this.stream(controller);
        }
    }

    onResponseEnd(): void {
        if (this.done) {
            return;
        }
        if (this.responseStarted) {
            this.sink.end();
            this.finish({ kind: "streamed", status: this.status });
            return;
        }
        const [first] = this.chunks;
        const body = this.chunks.length === 1 && first !== undefined ? first : Buffer.concat(this.chunks);
        this.finish({ kind: "whole", status: this.status, headers: this.answerHeaders, body });
    }

    onResponseError(controller: Dispatcher.DispatchController | undefined, error: Error): void {
        const reason = this.sent
            ? this.status === 0 ? reasons.upstreamFailed : reasons.answerTruncated
            : reasons.connectFailed;
        this.fail(reason, error.message);
    }

    /** An answer without length that is not chunked ends with the connection, as a truncated one does. */
    private isDelimited(): boolean {
        return this.answerHeaders["transfer-encoding"] !== undefined
            || this.request.method === "HEAD"
            || this.status === STATUS_NO_CONTENT
            || this.status === STATUS_NOT_MODIFIED;
    }

    private stream(controller: Dispatcher.DispatchController): void {
        if (!this.responseStarted) {
            this.responseStarted = true;
            this.sink.begin(this.status, this.answerHeaders);
        }
        let canWrite = true;
        for (const chunk of this.chunks) {
            canWrite = this.sink.write(chunk, () => {
                this.paused = false;
                controller.resume();
            });
        }
        this.chunks = [];
        if (!canWrite) {
            this.paused = true;
            controller.pause();
        }
    }

    private timeOut(): void {
        if (this.paused) {
            this.reject(reasons.callerTooSlow, "the caller did not take the answer before the deadline");
            return;
        }
        this.reject(reasons.upstreamTimeout, "no whole answer before the deadline");
    }

    private reject(reason: string, message: string): void {
        this.fail(reason, message);
        this.controller?.abort(new Error(message));
    }

    private fail(reason: string, message: string): void {
        if (this.done) {
            return;
        }
        if (this.responseStarted) {
            this.sink.abort();
        }
        this.finish({ kind: "failed", sent: this.sent, responseStarted: this.responseStarted, reason, message });
    }

    private finish(result: ExchangeResult): void {
        this.done = true;
        clearTimeout(this.timer);
        this.resolve(result);
    }
}
