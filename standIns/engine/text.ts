/**
 * Deterministic text of the engine stand-in: a rolling hash of the prompt and the tokens so far decides the next token.
 * Continuing a partial answer therefore gives the remaining text byte for byte.
 */
import { charactersPerToken } from "../../src/protocol/constants.ts";

/** Number of tokens in a block of the prompt cache. */
export const blockTokens = 16;

const blockCharacters = blockTokens * charactersPerToken;
const offsetBasis = 0x811c9dc5;
const prime = 0x01000193;
const words =
  " the a and of to in for on with by from over under after before until crew cabin safety drill record " +
  "check renewal roster desk course season order button trim thread stock price carton shop supplier line " +
  "valid due late early signed counted matched listed found kept sent moved";
const vocabulary = words.trim().split(" ");

/** Continues an FNV-1a hash over a text's UTF-16 code units. */
export const continueHash = (hash: number, text: string): number => {
  let state = hash;
  for (let index = 0; index < text.length; index += 1) {
    state = Math.imul(state ^ text.charCodeAt(index), prime);
  }
  return state >>> 0;
};

/** Starts a hash that depends on a seed. */
export const startHash = (seed: string): number => continueHash(offsetBasis, seed);

/** Mixes a hash's bits, so that its remainders depend on more than the last character. */
const mixHash = (hash: number): number => {
  const mixed = Math.imul(hash ^ (hash >>> 16), 0x45d9f3b);
  return (mixed ^ (mixed >>> 15)) >>> 0;
};

const endToken = " done.";

/** The state of a text: everything that its continuation depends on. */
export interface TextState {
  readonly hash: number;
  /** True if the text ends with the token that ends an answer. */
  readonly ended: boolean;
}

/**
 * Computes the state after a rendered prompt, including a partial answer.
 *
 * @param seed - Texts with different seeds continue differently.
 */
export const createTextState = (seed: string, rendered: string): TextState => ({
  hash: continueHash(startHash(seed), rendered),
  ended: rendered.endsWith(endToken),
});

/**
 * Generates the next token.
 *
 * @param averageTokens - Average length of an answer in tokens; 0 never ends one.
 */
export const nextToken = ({ hash }: TextState, averageTokens: number): string => {
  const value = mixHash(hash);
  if (averageTokens > 0 && value % averageTokens === 0) return endToken;
  return ` ${vocabulary[Math.floor(value / 64) % vocabulary.length] ?? ""}`;
};

/** Computes the state after one more token. */
export const appendToken = ({ hash }: TextState, token: string): TextState => ({
  hash: continueHash(hash, token),
  ended: token === endToken,
});

/** The fields of a chat message that are rendered. */
export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

/**
 * Renders a chat as one text.
 *
 * @param continueFinal - True if the last message is a partial answer that is to be continued.
 */
export const renderChat = (messages: readonly ChatMessage[], continueFinal: boolean): string => {
  const parts = messages.map(({ role, content }) => `<|${role}|>${content}`);
  return continueFinal ? parts.join("\n") : [...parts, "<|assistant|>"].join("\n");
};

/** Counts the tokens of a rendered text. */
export const countTokens = (rendered: string): number => Math.ceil(rendered.length / charactersPerToken);

/**
 * Computes chained hashes of a text's complete blocks.
 *
 * @param seed - Texts with different seeds share no block.
 */
export const hashBlocks = (seed: string, rendered: string): readonly string[] => {
  const blocks: string[] = [];
  let first = startHash(seed);
  let second = startHash(`second ${seed}`);
  for (let end = blockCharacters; end <= rendered.length; end += blockCharacters) {
    const text = rendered.slice(end - blockCharacters, end);
    first = continueHash(first, text);
    second = continueHash(second, text);
    blocks.push(first.toString(16).padStart(8, "0") + second.toString(16).padStart(8, "0"));
  }
  return blocks;
};
