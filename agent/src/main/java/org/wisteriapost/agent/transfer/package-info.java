/**
 * How the chunks of weight files come into a VM's weight store. The policy is a plug-in,
 * {@link org.wisteriapost.agent.transfer.TransferProvider}.
 */
package org.wisteriapost.agent.transfer;
